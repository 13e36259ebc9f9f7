# ferrytray_module(name PUBLIC deps... PRIVATE deps...)
#
# One static library per module: sources in src/ferrytray/<name>/, public headers
# in include/ferrytray/<name>/. Every x_test.cpp beside x.cpp joins the test
# program <name>_test, which ctest runs as a whole.
set(FERRYTRAY_MODULES "" CACHE INTERNAL "")

function(ferrytray_warnings target)
  # GCC 12 takes "literal + to_string()" for overlapping memory (its bug 105651).
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror -Wno-restrict)
endfunction()

function(ferrytray_module name)
  cmake_parse_arguments(ARG "" "" "PUBLIC;PRIVATE" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "src/ferrytray/${name}/*.cpp")
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")

  add_library(ferrytray_${name} STATIC ${sources})
  add_library(ferrytray::${name} ALIAS ferrytray_${name})
  set_target_properties(ferrytray_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(ferrytray_${name}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/include> $<INSTALL_INTERFACE:include>
    PRIVATE "${CMAKE_SOURCE_DIR}/src")
  foreach(dep ${ARG_PRIVATE})
    target_link_libraries(ferrytray_${name} PRIVATE ${dep})
  endforeach()
  target_link_libraries(ferrytray_${name} PUBLIC ${ARG_PUBLIC})
  ferrytray_warnings(ferrytray_${name})
  set(FERRYTRAY_MODULES ${FERRYTRAY_MODULES} ${name} CACHE INTERNAL "")

  if(tests)
    ferrytray_test(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE ferrytray::${name})
  endif()
endfunction()

# ferrytray_test(name sources...): one CppUTest program, registered with ctest.
function(ferrytray_test name)
  add_executable(${name} ${ARGN} "${CMAKE_SOURCE_DIR}/tests/test_main.cpp")
  target_include_directories(${name} PRIVATE "${CMAKE_SOURCE_DIR}/src" "${CMAKE_SOURCE_DIR}")
  target_link_libraries(${name} PRIVATE PkgConfig::cpputest ${RAPIDCHECK_LIBRARY})
  ferrytray_warnings(${name})
  add_test(NAME ${name} COMMAND ${name} -v ${${name}_arguments})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=1" TIMEOUT 240)
endfunction()
