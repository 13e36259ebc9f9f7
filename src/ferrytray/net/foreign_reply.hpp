#pragma once

#include <cstddef>     // for size_t
#include <string_view> // for string_view

#include "ferrytray/net/reply_match.hpp" // for EchoedHeader

namespace ferrytray::net {

/// @brief Measures a reply to another request at the start of what was received.
///
/// Such a reply must be final, carry the echoed header with other values only, and be received
/// whole, as its length or its last chunk shows.
/// @return its size in bytes; zero if the bytes do not start with such a reply
[[nodiscard]] std::size_t ForeignReplySize(std::string_view aBytes, const EchoedHeader& aExpected);

} // namespace ferrytray::net
