include("${CMAKE_CURRENT_LIST_DIR}/pearreach_dispatchTargets.cmake")
