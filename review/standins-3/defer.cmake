# Includes standins.cmake once the project has declared all its libraries.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include ${CMAKE_SOURCE_DIR}/review/standins-3/standins.cmake)
