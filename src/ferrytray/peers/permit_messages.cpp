#include "ferrytray/peers/permit_messages.hpp"

#include "ferrytray/peers/archive.hpp"       // for ReadMessage, WriteMessage
#include "ferrytray/peers/limit_archive.hpp" // for serialize

namespace ferrytray::peers {

template<typename Archive>
void serialize(Archive& aArchive, PermitRequest& aRequest)
{
  aArchive(aRequest.m_zone, aRequest.m_limit);
}

template<typename Archive>
void serialize(Archive& aArchive, PermitReply& aReply)
{
  aArchive(aReply.m_granted, aReply.m_unlimited, aReply.m_retryAfterMillis);
}

std::string Encode(const PermitRequest& aRequest)
{
  return WriteMessage(aRequest, kMessageVersion);
}

std::string Encode(const PermitReply& aReply)
{
  return WriteMessage(aReply, kMessageVersion);
}

base::Result<PermitRequest> DecodePermitRequest(std::string_view aBytes)
{
  return ReadMessage<PermitRequest>(aBytes, kMessageVersion);
}

base::Result<PermitReply> DecodePermitReply(std::string_view aBytes)
{
  return ReadMessage<PermitReply>(aBytes, kMessageVersion);
}

} // namespace ferrytray::peers
