#pragma once

#include <cstdint>     // for int32_t, uint32_t
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/error.hpp"             // for Result
#include "ferrytray/limits/endpoint_limits.hpp" // for LimitReport

namespace ferrytray::peers {

/// @brief Asks the host that issues the permits for a limited endpoint for some.
struct PermitRequest
{
  std::string m_zone;          ///< availability zone of the endpoint
  limits::LimitReport m_limit; ///< what the requesting host knows of the endpoint's limit
};

/// @brief Reply to a PermitRequest.
struct PermitReply
{
  std::uint32_t m_granted = 0;         ///< permits, each for one request
  bool m_unlimited = false;            ///< the limit has ended: no permits are needed any more
  std::int32_t m_retryAfterMillis = 0; ///< if none are granted: when to ask again
};

std::string Encode(const PermitRequest& aRequest);
std::string Encode(const PermitReply& aReply);
/// @return PeerMalformed if the bytes are not such a message
base::Result<PermitRequest> DecodePermitRequest(std::string_view aBytes);
base::Result<PermitReply> DecodePermitReply(std::string_view aBytes);

} // namespace ferrytray::peers
