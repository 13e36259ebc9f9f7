#include "ferrytray/wire/frames.hpp"

#include <algorithm> // for min
#include <sstream>   // for ostringstream

#include <cereal/archives/binary.hpp> // for BinaryOutputArchive
#include <cereal/types/chrono.hpp>    // for duration
#include <cereal/types/string.hpp>    // for string
#include <cereal/types/utility.hpp>   // for pair
#include <cereal/types/variant.hpp>   // for variant
#include <cereal/types/vector.hpp>    // for vector

#include "ferrytray/net/bounded_archive.hpp" // for BoundedInputArchive

namespace ferrytray::base {

template<typename Archive>
void serialize(Archive& aArchive, Digest128& aDigest)
{
  aArchive(aDigest.m_high, aDigest.m_low);
}

} // namespace ferrytray::base

namespace ferrytray::membership {

namespace {

/// Encodes a string with a length prefix of two bytes instead of cereal's eight, since datagrams
/// are frequent and names are short.
struct ShortString
{
  std::string& m_string;
};

template<typename Archive>
void save(Archive& aArchive, const ShortString& aString)
{
  const auto size =
    static_cast<std::uint16_t>(std::min<std::size_t>(aString.m_string.size(), 0xFFFF));
  aArchive(size);
  aArchive(cereal::binary_data(aString.m_string.data(), size));
}

template<typename Archive>
void load(Archive& aArchive, ShortString& aString)
{
  std::uint16_t size = 0;
  aArchive(size);
  aString.m_string.resize(size);
  aArchive(cereal::binary_data(aString.m_string.data(), size));
}

template<typename Archive, typename... Strings>
void SerializeShort(Archive& aArchive, Strings&... aStrings)
{
  (
    [&] {
      ShortString text{ aStrings };
      aArchive(text);
    }(),
    ...);
}

} // namespace

template<typename Archive>
void serialize(Archive& aArchive, MemberHeartbeat& aHeartbeat)
{
  SerializeShort(aArchive, aHeartbeat.m_host);
  aArchive(
    aHeartbeat.m_incarnation, aHeartbeat.m_heartbeat, aHeartbeat.m_position, aHeartbeat.m_state);
}

template<typename Archive>
void serialize(Archive& aArchive, Member& aMember)
{
  SerializeShort(aArchive, aMember.m_host, aMember.m_zone, aMember.m_gossip, aMember.m_control);
  SerializeShort(aArchive, aMember.m_gate, aMember.m_gateControl);
  aArchive(aMember.m_incarnation, aMember.m_heartbeat, aMember.m_position, aMember.m_state);
  aArchive(aMember.m_tickets, aMember.m_drained);
}

template<typename Archive>
void serialize(Archive& aArchive, LoadDigest& aLoad)
{
  SerializeShort(aArchive, aLoad.m_worker, aLoad.m_version);
  aArchive(aLoad.m_queuedMillis, aLoad.m_ageMillis, aLoad.m_tokensPerSecond);
}

template<typename Archive>
void serialize(Archive& aArchive, DemandDigest& aDemand)
{
  SerializeShort(aArchive, aDemand.m_account);
  aArchive(aDemand.m_perSecond);
}

template<typename Archive>
void serialize(Archive& aArchive, GossipMessage& aMessage)
{
  aArchive(
    aMessage.m_from, aMessage.m_members, aMessage.m_loads, aMessage.m_demands, aMessage.m_leaving);
}

} // namespace ferrytray::membership

namespace ferrytray::replay {

template<typename Archive>
void serialize(Archive& aArchive, ScopeState& aScope)
{
  aArchive(aScope.m_scope, aScope.m_acceptedOffset, aScope.m_digest, aScope.m_body);
  aArchive(aScope.m_newestCopyTime, aScope.m_schemaSupported);
}

} // namespace ferrytray::replay

namespace ferrytray::once {

template<typename Archive>
void serialize(Archive& aArchive, StoredAnswer& aAnswer)
{
  aArchive(aAnswer.m_status, aAnswer.m_contentType, aAnswer.m_body);
}

template<typename Archive>
void serialize(Archive& aArchive, TicketRow& aRow)
{
  aArchive(aRow.m_ticket,
           aRow.m_account,
           aRow.m_state,
           aRow.m_request,
           aRow.m_answer,
           aRow.m_remainingLifetime);
}

} // namespace ferrytray::once

namespace ferrytray::wire {

template<typename Archive>
void serialize(Archive& aArchive, ListedHost& aHost)
{
  aArchive(
    aHost.m_name, aHost.m_role, aHost.m_pool, aHost.m_zone, aHost.m_address, aHost.m_incarnation);
  aArchive(aHost.m_leaving);
}

template<typename Archive>
void serialize(Archive& aArchive, LoadReport& aReport)
{
  aArchive(aReport.m_incarnation, aReport.m_version, aReport.m_swapping, aReport.m_leaving);
  aArchive(aReport.m_queuedMillis, aReport.m_ageMillis, aReport.m_tokensPerSecond);
}

template<typename Archive>
void serialize(Archive& aArchive, EndpointStatus& aStatus)
{
  aArchive(aStatus.m_host, aStatus.m_load, aStatus.m_reportAgeMillis);
}

template<typename Archive>
void serialize(Archive& aArchive, Hello& aFrame)
{
  aArchive(aFrame.m_host, aFrame.m_isGate, aFrame.m_position);
}

template<typename Archive>
void serialize(Archive& aArchive, StateUpdate& aFrame)
{
  aArchive(aFrame.m_position, aFrame.m_scopes);
}

template<typename Archive>
void serialize(Archive& aArchive, EndpointUpdate& aFrame)
{
  aArchive(aFrame.m_endpoints);
}

template<typename Archive>
void serialize(Archive& aArchive, PeerUpdate& aFrame)
{
  aArchive(aFrame.m_members);
}

template<typename Archive>
void serialize(Archive& aArchive, ShareUpdate& aFrame)
{
  aArchive(aFrame.m_shares, aFrame.m_default);
}

template<typename Archive>
void serialize(Archive& aArchive, GateReport& aFrame)
{
  aArchive(aFrame.m_address, aFrame.m_control, aFrame.m_position, aFrame.m_openWork);
  aArchive(aFrame.m_tickets, aFrame.m_demand, aFrame.m_leaving, aFrame.m_drained);
}

template<typename Archive>
void serialize(Archive& aArchive, ConfigurationAgeRequest& aFrame)
{
  aArchive(aFrame.m_requestId);
}

template<typename Archive>
void serialize(Archive& aArchive, ConfigurationAge& aFrame)
{
  aArchive(aFrame.m_requestId, aFrame.m_ageMillis);
}

template<typename Archive>
void serialize(Archive& aArchive, HalfEpochs& aEpochs)
{
  aArchive(aEpochs.m_rule, aEpochs.m_given, aEpochs.m_received);
}

template<typename Archive>
void serialize(Archive& aArchive, HalfUpdate& aFrame)
{
  aArchive(aFrame.m_rules);
}

template<typename Archive>
void serialize(Archive& aArchive, TicketHandover& aFrame)
{
  aArchive(aFrame.m_incarnations, aFrame.m_rows);
}

template<typename Archive>
void serialize(Archive& aArchive, TicketAck& aFrame)
{
  aArchive(aFrame.m_incarnation);
}

namespace {

template<typename Message>
std::string Encode(const Message& aMessage)
{
  std::ostringstream bytes;
  {
    cereal::BinaryOutputArchive archive(bytes);
    archive(aMessage);
  }
  return std::move(bytes).str();
}

template<typename Message>
base::Result<Message> Decode(std::string_view aBytes, const char* aKind)
{
  try {
    net::BoundedInputArchive archive(aBytes);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::PlatformMalformed, std::string(aKind) + ": " + error.what());
  }
}

} // namespace

std::string EncodeFrame(const Frame& aFrame)
{
  return Encode(aFrame);
}

base::Result<Frame> DecodeFrame(std::string_view aBytes)
{
  return Decode<Frame>(aBytes, "frame");
}

std::string EncodeGossip(const membership::GossipMessage& aMessage)
{
  return Encode(aMessage);
}

base::Result<membership::GossipMessage> DecodeGossip(std::string_view aBytes)
{
  return Decode<membership::GossipMessage>(aBytes, "datagram");
}

} // namespace ferrytray::wire
