# Every library the project declares. CppUTest's own CMake config names a folder
# that Debian lacks, and xxHash has none, so those two come by pkg-config.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(ZLIB REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(cxxopts REQUIRED)
find_package(fmt REQUIRED)
find_package(tomlplusplus REQUIRED)
find_package(restinio CONFIG REQUIRED)
pkg_check_modules(cpputest REQUIRED IMPORTED_TARGET cpputest)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)

# tl::expected is header-only.
add_library(expected INTERFACE)
