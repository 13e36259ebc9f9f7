#pragma once

#include <cstdint>     // for uint64_t
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/error.hpp"               // for Result
#include "ferrytray/cache/contents_delta.hpp"     // for ContentsCursor, ContentsDelta
#include "ferrytray/limits/brittle_services.hpp"  // for BrittleReports
#include "ferrytray/limits/endpoint_limits.hpp"   // for LimitReports
#include "ferrytray/peers/backoff_table.hpp"      // for BackoffNotices
#include "ferrytray/peers/incarnation_table.hpp"  // for IncarnationNotices
#include "ferrytray/peers/load_table.hpp"         // for EndpointLoads, LoadScope
#include "ferrytray/peers/reload_table.hpp"       // for ReloadNotices
#include "ferrytray/peers/roster.hpp"             // for Peer
#include "ferrytray/quarantine/crash_tracker.hpp" // for CrashNotices, Suspicion
#include "ferrytray/quarantine/notice_log.hpp"    // for NoticeOffset
#include "ferrytray/store/topic_update.hpp"       // for TopicCursor, TopicUpdate

namespace ferrytray::peers {

/// @brief Asks another host for everything that is new since the given cursors, and reports the
/// sender's own state.
struct SyncRequest
{
  Peer m_sender;
  std::uint64_t m_incarnation = 0; ///< of the receiver, as of which the cursors are valid
  std::vector<cache::ContentsCursor> m_cursors; ///< of the KV stores to get changes of
  std::vector<store::TopicCursor> m_topics;     ///< that the sender follows through the receiver
  LoadScope m_scope = LoadScope::Own;
  EndpointLoads m_loads;   ///< with the scope above
  ReloadNotices m_reloads; ///< that the sender knows of, if it is a reader
  IncarnationNotices m_replaced;
  IncarnationNotices m_announcedLeaving; ///< endpoints that have announced their shutdown
  BackoffNotices m_backoffs;             ///< that endpoints have requested from any host
  limits::LimitReports m_limits;         ///< of endpoints, known to the sender
  limits::BrittleReports m_brittle;      ///< services, known to the sender
  quarantine::CrashNotices m_crashes;    ///< that the sender has not sent to the receiver yet
  /// The first of the receiver's crash notices that the sender lacks; used with scope Own.
  quarantine::NoticeOffset m_crashesFrom = 0;
  bool m_isRegistered = false; ///< the sender is in the topic of hosts
  /// DigestOf() the sources that the receiver sent last.
  std::uint64_t m_sourcesDigest = 0;
};

/// @brief Reply to a SyncRequest.
struct SyncReply
{
  std::uint64_t m_incarnation = 0; ///< of the replying host
  std::vector<store::TopicUpdate> m_topics;
  std::vector<cache::ContentsDelta> m_stores;
  /// For a request of scope Own: the loads of all other hosts. For scope Summary: those of this
  /// host and of the hosts that report to it.
  EndpointLoads m_loads;
  ReloadNotices m_reloads; ///< known to the replying host
  IncarnationNotices m_replaced;
  IncarnationNotices m_announcedLeaving;
  BackoffNotices m_backoffs;
  limits::LimitReports m_limits;    ///< of endpoints, known to the replying host
  limits::BrittleReports m_brittle; ///< services, known to the replying host
  /// Readers and relays for the zone of the requesting host; empty if their digest is unchanged.
  std::vector<Peer> m_sources;
  quarantine::CrashNotices m_crashes;         ///< only for a request of scope Own
  quarantine::NoticeOffset m_crashesNext = 0; ///< number of the first notice after these
};

/// @brief Digest of names and addresses; zero only for no peers.
std::uint64_t DigestOf(std::span<const Peer> aPeers);

std::string Encode(const Peer& aPeer);
std::string Encode(const SyncRequest& aRequest);
std::string Encode(const SyncReply& aReply);
/// @brief Encodes the record that the record log keeps of content that crashes endpoints.
std::string Encode(const quarantine::Suspicion& aSuspicion);
/// @return PeerMalformed if the bytes are not such a message
base::Result<Peer> DecodePeer(std::string_view aBytes);
base::Result<SyncRequest> DecodeSyncRequest(std::string_view aBytes);
base::Result<SyncReply> DecodeSyncReply(std::string_view aBytes);
base::Result<quarantine::Suspicion> DecodeSuspicion(std::string_view aBytes);

} // namespace ferrytray::peers
