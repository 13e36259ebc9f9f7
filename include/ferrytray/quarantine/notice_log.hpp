#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint64_t
#include <deque>         // for deque
#include <unordered_set> // for unordered_set

#include "ferrytray/quarantine/crash_notice.hpp" // for CrashNotice

namespace ferrytray::quarantine {

/// @brief Number of a notice in one process's log; it grows by one with each.
using NoticeOffset = std::uint64_t;

/// @brief The newest notices that a host knows, each once, for hosts that have not heard of them.
/// Pure.
class NoticeLog
{
public:
  /// @param aCapacity kept; older ones are dropped, so that memory stays bounded
  explicit NoticeLog(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /// @return whether it was not known
  bool Add(const CrashNotice& aNotice);
  /// @brief Notices from that number on, so many at most.
  [[nodiscard]] CrashNotices Since(NoticeOffset aFrom, std::size_t aMaxCount) const;
  /// @brief The number that comes after what Since() gives.
  [[nodiscard]] NoticeOffset NextOffset(NoticeOffset aFrom, std::size_t aMaxCount) const;
  [[nodiscard]] NoticeOffset End() const { return m_begin + m_notices.size(); }

private:
  static std::uint64_t HashOf(const CrashNotice& aNotice);
  [[nodiscard]] std::size_t IndexOf(NoticeOffset aFrom) const;

  std::size_t m_capacity;
  NoticeOffset m_begin = 0;
  std::deque<CrashNotice> m_notices;
  std::unordered_set<std::uint64_t> m_knownHashes;
};

} // namespace ferrytray::quarantine
