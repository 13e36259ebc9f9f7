#pragma once

#include <string>  // for string
#include <variant> // for variant

#include "ferrytray/net/http_server.hpp" // for Headers

namespace ferrytray::net {

/// @brief The reply is the only one on its connection, which is new and closed afterwards.
struct DedicatedConnection
{
};

/// @brief The peer returns a header of the request unchanged.
///
/// A connection carries each value once, so that a second reply to an earlier request with the same
/// value cannot arrive where the reply to a later one is expected. A reply without the header, or
/// with another value, is not reported as the reply to the request.
struct EchoedHeader
{
  std::string m_name;
  std::string m_value;
};

/// @brief Replies arrive in the order of their requests, and nothing in them is checked.
///
/// For peers that send exactly one reply to each request, and for readers to which the reply to an
/// earlier request does no harm. Each use states which of these applies.
struct InOrder
{
};

/// @brief Why the next reply on a connection is the reply to the request that was sent on it.
///
/// HTTP/1.1 matches replies to requests only by their order. A faulty peer sends a reply a second
/// time, possibly after it has received the next request.
using ReplyMatch = std::variant<DedicatedConnection, EchoedHeader, InOrder>;

/// @brief Whether a reply with these headers may be the reply to its request.
[[nodiscard]] bool MayMatch(const ReplyMatch& aMatch, const Headers& aHeaders);

} // namespace ferrytray::net
