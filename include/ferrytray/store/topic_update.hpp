#pragma once

#include <cstdint> // for uint64_t
#include <string>  // for string
#include <vector>  // for vector

#include "ferrytray/base/time.hpp"        // for Duration
#include "ferrytray/store/record_log.hpp" // for Offset, Record

namespace ferrytray::store {

/// @brief How far a host has followed a topic.
struct TopicCursor
{
  std::string m_topic;
  Offset m_next = 0;
  bool m_unread = false; ///< the host has not read the topic yet
};

/// @brief What one host relays to another of a topic that it reads.
struct TopicUpdate
{
  std::string m_topic;
  Offset m_from = 0;             ///< the cursor of the requesting host
  Offset m_end = 0;              ///< the topic's end when it was last read
  std::vector<Record> m_records; ///< all from the cursor to the end that carry something new
  bool m_isSnapshot = false;     ///< m_records are the newest record of each key instead
  /// The records are not included: no longer kept, too many, or the log is unreachable. The
  /// requesting host has to read them from the log.
  bool m_unavailable = false;
  base::Duration m_age{};      ///< since the log last answered
  std::uint64_t m_outages = 0; ///< how often the log recovered, as seen by the relaying host
};

} // namespace ferrytray::store
