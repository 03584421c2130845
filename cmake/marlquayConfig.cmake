include("${CMAKE_CURRENT_LIST_DIR}/marlquayTargets.cmake")
