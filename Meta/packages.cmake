# Each library, program and test of the workspace is declared by one call of these functions.

# Declares library NAME from SOURCES, linked to LINKS; other packages include it as "NAME/header.h".
function(wagtailmount_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${NAME} STATIC ${ARG_SOURCES})
  target_include_directories(${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/Libraries)
  target_link_libraries(${NAME} PUBLIC ${ARG_LINKS} Threads::Threads)
endfunction()

# Declares the test PREFIX.NAME of real processes, run by python3 with the arguments. It has the machine to itself.
function(wagtailmount_python_test PREFIX NAME)
  add_test(NAME ${PREFIX}.${NAME} COMMAND python3 -B ${ARGN} WORKING_DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR})
  set_tests_properties(${PREFIX}.${NAME} PROPERTIES
    LABELS process RUN_SERIAL TRUE TIMEOUT 240
    ENVIRONMENT "WAGTAILMOUNT_BUILD=${PROJECT_BINARY_DIR}")
endfunction()

# Declares a Boost.Test program NAME and its run under ctest.
function(wagtailmount_test NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/Tests/test_main.cc)
  target_include_directories(${NAME} PRIVATE ${PROJECT_SOURCE_DIR}/Libraries ${PROJECT_SOURCE_DIR})
  target_compile_definitions(${NAME} PRIVATE BOOST_TEST_DYN_LINK WAGTAILMOUNT_TEST_NAME=${NAME}
    WAGTAILMOUNT_SOURCE_FOLDER="${PROJECT_SOURCE_DIR}")
  target_link_libraries(${NAME} PRIVATE ${ARG_LINKS} Boost::unit_test_framework Threads::Threads)
  add_test(NAME ${NAME} COMMAND ${NAME})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 120)
endfunction()
