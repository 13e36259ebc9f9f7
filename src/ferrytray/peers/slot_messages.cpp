#include "ferrytray/peers/slot_messages.hpp"

#include "ferrytray/peers/archive.hpp" // for ReadMessage, WriteMessage

namespace ferrytray::limits {

template<typename Archive>
void serialize(Archive& aArchive, SlotRequest& aRequest)
{
  aArchive(aRequest.m_endpoint, aRequest.m_host, aRequest.m_sequence, aRequest.m_slots);
  aArchive(aRequest.m_open, aRequest.m_wanted, aRequest.m_rejections);
}

} // namespace ferrytray::limits

namespace ferrytray::peers {

template<typename Archive>
void serialize(Archive& aArchive, SlotReply& aReply)
{
  aArchive(aReply.m_granted, aReply.m_retryAfterMillis);
}

std::string Encode(const limits::SlotRequest& aRequest)
{
  return WriteMessage(aRequest, kMessageVersion);
}

std::string Encode(const SlotReply& aReply)
{
  return WriteMessage(aReply, kMessageVersion);
}

base::Result<limits::SlotRequest> DecodeSlotRequest(std::string_view aBytes)
{
  return ReadMessage<limits::SlotRequest>(aBytes, kMessageVersion);
}

base::Result<SlotReply> DecodeSlotReply(std::string_view aBytes)
{
  return ReadMessage<SlotReply>(aBytes, kMessageVersion);
}

} // namespace ferrytray::peers
