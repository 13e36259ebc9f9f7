#pragma once

#include <string> // for string
#include <vector> // for vector

#include "ferrytray/base/time.hpp"        // for Duration
#include "ferrytray/store/record_log.hpp" // for Offset, Record

namespace ferrytray::store {

/// @brief How far a host has followed a topic.
struct TopicCursor
{
  std::string m_topic;
  Offset m_next = 0;
  bool m_unread = false; ///< the host needs the whole topic
  std::string m_after{}; ///< key after which the snapshot continues, if the host needs it
};

/// @brief What one host relays to another of a topic that it follows. Bounded in size.
struct TopicUpdate
{
  std::string m_topic;
  Offset m_from = 0;             ///< the cursor of the requesting host
  Offset m_end = 0;              ///< up to which m_records reach
  std::vector<Record> m_records; ///< all from the cursor to the end that carry something new
  /// m_records are one piece of the snapshot instead: the newest records of the keys that follow
  /// m_after, in the order of keys.
  bool m_isSnapshot = false;
  /// The log is unreachable from the relaying host. The requesting host has to read it.
  bool m_unavailable = false;
  base::Duration m_age{}; ///< of the records: since the read that last reached the topic's end
  /// Begin and end, as ages, of the relaying host's current contact period (@see ContactHistory).
  base::Duration m_contactBeginAge{};
  base::Duration m_contactEndAge{};
  std::string m_after{};  ///< of the cursor of the requesting host
  bool m_hasMore = false; ///< further records are available now
};

} // namespace ferrytray::store
