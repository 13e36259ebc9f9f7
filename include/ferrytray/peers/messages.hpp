#pragma once

#include <cstdint>     // for uint64_t
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/error.hpp"             // for Result
#include "ferrytray/cache/contents_delta.hpp"   // for ContentsCursor, ContentsDelta
#include "ferrytray/peers/load_board.hpp"       // for EndpointLoads, LoadScope
#include "ferrytray/peers/reload_board.hpp"     // for ReloadNotices
#include "ferrytray/peers/replaced_board.hpp"   // for ReplacedNotices
#include "ferrytray/peers/roster.hpp"           // for Peer
#include "ferrytray/quarantine/crash_board.hpp" // for CrashNotices, Suspicion
#include "ferrytray/quarantine/notice_log.hpp"  // for NoticeNumber
#include "ferrytray/store/topic_news.hpp"       // for TopicCursor, TopicNews

namespace ferrytray::peers {

/// @brief One host asks another for what it does not know yet.
struct NewsRequest
{
  Peer m_sender;
  std::uint64_t m_incarnation = 0;              ///< of the other host, to which the cursors belong
  std::vector<cache::ContentsCursor> m_cursors; ///< of stores that it wants to hear of
  std::vector<store::TopicCursor> m_topics;     ///< that it follows through the other host
  LoadScope m_scope = LoadScope::Own;
  EndpointLoads m_loads;   ///< of this scope
  bool m_lostLog = false;  ///< it cannot read the log itself
  ReloadNotices m_reloads; ///< that it ordered or heard of, if it is a reader
  ReplacedNotices m_replaced;
  quarantine::CrashNotices m_crashes; ///< that it has not told the other host yet
  /// Up to where it knows the other host's notices of this kind; for Own scope.
  quarantine::NoticeNumber m_crashesFrom = 0;
};

/// @brief The answer.
struct NewsReply
{
  std::uint64_t m_incarnation = 0; ///< of the host that answers
  std::vector<store::TopicNews> m_topics;
  std::vector<cache::ContentsDelta> m_stores;
  /// To a host that tells its own load: all others'. To one that tells a summary: this host's.
  EndpointLoads m_loads;
  ReloadNotices m_reloads; ///< that it knows of
  ReplacedNotices m_replaced;
  std::vector<Peer> m_readers;        ///< hosts of the asking one's zone that read for others
  quarantine::CrashNotices m_crashes; ///< to a host that tells its own load
  quarantine::NoticeNumber m_crashesNext = 0; ///< comes after these
};

std::string Encode(const Peer& aPeer);
std::string Encode(const NewsRequest& aRequest);
std::string Encode(const NewsReply& aReply);
/// @brief What the record log keeps of a request that ends endpoints.
std::string Encode(const quarantine::Suspicion& aSuspicion);
/// @return PeerMalformed when the bytes are anything else
base::Result<Peer> DecodePeer(std::string_view aBytes);
base::Result<NewsRequest> DecodeNewsRequest(std::string_view aBytes);
base::Result<NewsReply> DecodeNewsReply(std::string_view aBytes);
base::Result<quarantine::Suspicion> DecodeSuspicion(std::string_view aBytes);

} // namespace ferrytray::peers
