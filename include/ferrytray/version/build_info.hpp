#pragma once

#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::version {

/// @brief The product's version, as in CMakeLists.txt.
[[nodiscard]] std::string_view Version();

/// @brief The commit that this program was built from, followed by "+changes" if tracked files
/// differed from it; "unknown" if the build had no access to the repository.
[[nodiscard]] std::string_view Commit();

/// @brief Digest of all sources that this program was built from, also without a repository.
/// `cmake -P cmake/BuildInfo.cmake` prints that of the working tree.
[[nodiscard]] std::string_view SourceDigest();

/// @brief Version, commit and digest in one line, for --version.
[[nodiscard]] std::string Describe();

} // namespace ferrytray::version
