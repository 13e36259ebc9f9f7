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
  bool m_unread = false; ///< it has not read the topic yet
};

/// @brief What one host tells another of a topic that it reads.
struct TopicUpdate
{
  std::string m_topic;
  Offset m_from = 0;             ///< the cursor of whoever asked
  Offset m_end = 0;              ///< the topic's end when it was last read
  std::vector<Record> m_records; ///< all from the cursor to the end that tell something new
  bool m_isSnapshot = false;     ///< instead: the newest record of each key
  /// The records are not here: no longer kept, or too many. Who asked has to read by itself.
  bool m_unavailable = false;
  base::Duration m_age{};      ///< since the log last answered
  std::uint64_t m_outages = 0; ///< times that the log came back, as this host saw it
};

} // namespace ferrytray::store
