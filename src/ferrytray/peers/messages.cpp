#include "ferrytray/peers/messages.hpp"

#include "ferrytray/base/digest.hpp"         // for Hash64
#include "ferrytray/peers/archive.hpp"       // for ReadCompressed, ReadMessage, WriteCompressed
#include "ferrytray/peers/limit_archive.hpp" // for serialize

namespace ferrytray::cache {

template<typename Archive>
void serialize(Archive& aArchive, PartName& aPart)
{
  aArchive(aPart.m_scope, aPart.m_id);
}

template<typename Archive>
void serialize(Archive& aArchive, StoreChange& aChange)
{
  aArchive(aChange.m_part, aChange.m_tokens, aChange.m_added);
}

template<typename Archive>
void serialize(Archive& aArchive, ContentsCursor& aCursor)
{
  aArchive(aCursor.m_store, aCursor.m_series, aCursor.m_next);
}

/// The optional clock is written as a flag and a number: cereal's reader for std::optional needs
/// C++17 headers that do not work with BoundedInputArchive.
template<typename Archive>
void serialize(Archive& aArchive, ContentsDelta& aDelta)
{
  bool hasClock = aDelta.m_clockMillis.has_value();
  std::int64_t clock = aDelta.m_clockMillis.value_or(0);
  aArchive(aDelta.m_store, aDelta.m_epoch, aDelta.m_series, aDelta.m_next, aDelta.m_whole);
  aArchive(aDelta.m_age, hasClock, clock, aDelta.m_changes);
  aDelta.m_clockMillis = hasClock ? std::optional(clock) : std::nullopt;
}

} // namespace ferrytray::cache

namespace ferrytray::store {

template<typename Archive>
void serialize(Archive& aArchive, TopicCursor& aCursor)
{
  aArchive(aCursor.m_topic, aCursor.m_next, aCursor.m_unread, aCursor.m_after);
}

template<typename Archive>
void serialize(Archive& aArchive, Record& aRecord)
{
  aArchive(aRecord.m_offset, aRecord.m_key, aRecord.m_value, aRecord.m_removed);
}

template<typename Archive>
void serialize(Archive& aArchive, TopicUpdate& aUpdate)
{
  aArchive(
    aUpdate.m_topic, aUpdate.m_from, aUpdate.m_end, aUpdate.m_records, aUpdate.m_unavailable);
  aArchive(aUpdate.m_age, aUpdate.m_contactBeginAge, aUpdate.m_contactEndAge, aUpdate.m_isSnapshot);
  aArchive(aUpdate.m_after, aUpdate.m_hasMore);
}

} // namespace ferrytray::store

namespace ferrytray::quarantine {

template<typename Archive>
void serialize(Archive& aArchive, CrashNotice& aNotice)
{
  aArchive(aNotice.m_kind, aNotice.m_content.m_high, aNotice.m_content.m_low);
  aArchive(aNotice.m_endpoint, aNotice.m_sequence);
}

template<typename Archive>
void serialize(Archive& aArchive, Suspicion& aSuspicion)
{
  aArchive(aSuspicion.m_crashedEndpoints, aSuspicion.m_knownGood, aSuspicion.m_probes);
}

} // namespace ferrytray::quarantine

namespace ferrytray::peers {

template<typename Archive>
void serialize(Archive& aArchive, Peer& aPeer)
{
  aArchive(aPeer.m_name, aPeer.m_zone, aPeer.m_address, aPeer.m_capacity);
}

template<typename Archive>
void serialize(Archive& aArchive, EndpointLoad& aLoad)
{
  aArchive(aLoad.m_endpoint, aLoad.m_work);
}

template<typename Archive>
void serialize(Archive& aArchive, ReloadNotice& aNotice)
{
  aArchive(aNotice.m_endpoint, aNotice.m_model, aNotice.m_version);
  aArchive(aNotice.m_endsInMillis, aNotice.m_revision);
}

template<typename Archive>
void serialize(Archive& aArchive, IncarnationNotice& aNotice)
{
  aArchive(aNotice.m_incarnation, aNotice.m_ageMillis);
}

template<typename Archive>
void serialize(Archive& aArchive, BackoffNotice& aNotice)
{
  aArchive(aNotice.m_endpoint, aNotice.m_host, aNotice.m_endsInMillis);
}

template<typename Archive>
void serialize(Archive& aArchive, SyncRequest& aRequest)
{
  aArchive(aRequest.m_sender, aRequest.m_isRegistered, aRequest.m_incarnation);
  aArchive(aRequest.m_cursors, aRequest.m_topics, aRequest.m_scope, aRequest.m_loads);
  aArchive(aRequest.m_reloads, aRequest.m_replaced, aRequest.m_announcedLeaving);
  aArchive(aRequest.m_backoffs, aRequest.m_limits, aRequest.m_brittle);
  aArchive(aRequest.m_crashes, aRequest.m_crashesFrom, aRequest.m_sourcesDigest);
}

template<typename Archive>
void serialize(Archive& aArchive, SyncReply& aReply)
{
  aArchive(aReply.m_incarnation, aReply.m_topics, aReply.m_stores, aReply.m_loads);
  aArchive(aReply.m_reloads, aReply.m_replaced, aReply.m_announcedLeaving);
  aArchive(aReply.m_backoffs, aReply.m_limits, aReply.m_brittle, aReply.m_sources);
  aArchive(aReply.m_crashes, aReply.m_crashesNext);
}

std::uint64_t DigestOf(std::span<const Peer> aPeers)
{
  std::uint64_t digest = 0;
  for (const Peer& peer : aPeers) {
    digest = base::Hash64(std::to_string(digest) + peer.m_name, peer.m_address);
  }
  return digest;
}

std::string Encode(const Peer& aPeer)
{
  return WriteMessage(aPeer, kRecordVersion);
}

std::string Encode(const SyncRequest& aRequest)
{
  return WriteCompressed(aRequest);
}

std::string Encode(const SyncReply& aReply)
{
  return WriteCompressed(aReply);
}

std::string Encode(const quarantine::Suspicion& aSuspicion)
{
  return WriteMessage(aSuspicion, kRecordVersion);
}

base::Result<Peer> DecodePeer(std::string_view aBytes)
{
  return ReadMessage<Peer>(aBytes, kRecordVersion);
}

base::Result<SyncRequest> DecodeSyncRequest(std::string_view aBytes)
{
  return ReadCompressed<SyncRequest>(aBytes);
}

base::Result<SyncReply> DecodeSyncReply(std::string_view aBytes)
{
  return ReadCompressed<SyncReply>(aBytes);
}

base::Result<quarantine::Suspicion> DecodeSuspicion(std::string_view aBytes)
{
  return ReadMessage<quarantine::Suspicion>(aBytes, kRecordVersion);
}

} // namespace ferrytray::peers
