#pragma once

#include <cstddef>     // for size_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::base {

/// @brief Compresses bytes (zlib format, fastest level).
std::string Deflate(std::string_view aBytes);

/// @brief Decompresses the output of Deflate().
/// @param aSize of the decompressed bytes
/// @return none if the bytes are damaged or have another size
std::optional<std::string> Inflate(std::string_view aBytes, std::size_t aSize);

} // namespace ferrytray::base
