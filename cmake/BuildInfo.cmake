# Identifies the sources by commit and digest.
#
#   cmake -P cmake/BuildInfo.cmake                               prints both
#   cmake -DOUTPUT=header.hpp -DVERSION=1.0 -P cmake/BuildInfo.cmake   writes a C++ header
#
# The header is only written if it changes, so that an unchanged tree compiles nothing again.
cmake_minimum_required(VERSION 3.25)
get_filename_component(root "${CMAKE_CURRENT_LIST_DIR}/.." ABSOLUTE)

file(GLOB_RECURSE sources RELATIVE "${root}"
  "${root}/include/*.hpp" "${root}/src/*.hpp" "${root}/src/*.cpp" "${root}/platform/*.hpp"
  "${root}/platform/*.cpp" "${root}/tools/*.hpp" "${root}/tools/*.cpp" "${root}/CMakeLists.txt"
  "${root}/cmake/*.cmake")
list(SORT sources)
set(digests "")
foreach(source ${sources})
  file(SHA256 "${root}/${source}" digest)
  string(APPEND digests "${source} ${digest}\n")
endforeach()
string(SHA256 sourceDigest "${digests}")
string(SUBSTRING "${sourceDigest}" 0 12 sourceDigest)

set(commit "unknown")
find_program(git git)
if(git)
  execute_process(COMMAND "${git}" -C "${root}" rev-parse --short=12 HEAD
    OUTPUT_VARIABLE head OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET RESULT_VARIABLE failed)
  execute_process(COMMAND "${git}" -C "${root}" rev-parse --show-toplevel
    OUTPUT_VARIABLE toplevel OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET)
  # The sources may lie in a folder of another repository.
  if(NOT failed AND toplevel STREQUAL root)
    set(commit "${head}")
    execute_process(COMMAND "${git}" -C "${root}" diff --quiet HEAD -- ${sources}
      OUTPUT_QUIET ERROR_QUIET RESULT_VARIABLE changed)
    if(changed)
      string(APPEND commit "+changes")
    endif()
  endif()
endif()

if(NOT OUTPUT)
  message("commit=${commit} sources=${sourceDigest}")
  return()
endif()
file(CONFIGURE OUTPUT "${OUTPUT}" @ONLY CONTENT [[
#pragma once

#include <string_view> // for string_view

namespace ferrytray::version {

inline constexpr std::string_view kVersion = "@VERSION@";
inline constexpr std::string_view kCommit = "@commit@";
inline constexpr std::string_view kSourceDigest = "@sourceDigest@";

} // namespace ferrytray::version
]])
