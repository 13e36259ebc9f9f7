#pragma once

#include <cstdint>     // for int32_t, uint32_t
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/error.hpp"         // for Result
#include "ferrytray/limits/slot_issuer.hpp" // for SlotRequest

namespace ferrytray::peers {

/// @brief Reply to a limits::SlotRequest.
struct SlotReply
{
  std::uint32_t m_granted = 0;
  std::int32_t m_retryAfterMillis = 0; ///< if fewer are granted than wanted: when to ask again
};

std::string Encode(const limits::SlotRequest& aRequest);
std::string Encode(const SlotReply& aReply);
/// @return PeerMalformed if the bytes are not such a message
base::Result<limits::SlotRequest> DecodeSlotRequest(std::string_view aBytes);
base::Result<SlotReply> DecodeSlotReply(std::string_view aBytes);

} // namespace ferrytray::peers
