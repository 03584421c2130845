# Writes the text file IN as the C++ array NAME into OUT.
file(READ "${IN}" text)
string(LENGTH "${text}" length)
if(length GREATER 60000)  # what every compiler has to take: 65,536 characters
  message(FATAL_ERROR "${IN} is too long for one literal")
endif()
file(WRITE "${OUT}" "// Made from ${NAME}'s file by cmake/embed.cmake.\n"
                    "inline constexpr char ${NAME}[] = R\"embedded(${text})embedded\";\n")
