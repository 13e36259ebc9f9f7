#include "ferrytray/peers/placement_messages.hpp"

#include "ferrytray/peers/archive.hpp" // for ReadMessage, WriteMessage

namespace ferrytray::peers {

template<typename Archive>
void serialize(Archive& aArchive, PlacementRequest& aRequest)
{
  aArchive(aRequest.m_host, aRequest.m_unreachable);
  aArchive(aRequest.m_service, aRequest.m_model, aRequest.m_zone, aRequest.m_key);
  aArchive(aRequest.m_tokens, aRequest.m_uncachedTokens, aRequest.m_unsharedTokens);
  aArchive(aRequest.m_sampleTokens, aRequest.m_sampleMillis);
}

template<typename Archive>
void serialize(Archive& aArchive, PlacementReply& aReply)
{
  aArchive(aReply.m_engine, aReply.m_prefixHolder, aReply.m_idle, aReply.m_memoryFull);
}

std::string Encode(const PlacementRequest& aRequest)
{
  return WriteMessage(aRequest, kMessageVersion);
}

std::string Encode(const PlacementReply& aReply)
{
  return WriteMessage(aReply, kMessageVersion);
}

base::Result<PlacementRequest> DecodePlacementRequest(std::string_view aBytes)
{
  return ReadMessage<PlacementRequest>(aBytes, kMessageVersion);
}

base::Result<PlacementReply> DecodePlacementReply(std::string_view aBytes)
{
  return ReadMessage<PlacementReply>(aBytes, kMessageVersion);
}

} // namespace ferrytray::peers
