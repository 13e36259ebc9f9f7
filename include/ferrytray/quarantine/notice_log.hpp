#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint64_t
#include <deque>         // for deque
#include <unordered_set> // for unordered_set

#include "ferrytray/quarantine/crash_notice.hpp" // for CrashNotice

namespace ferrytray::quarantine {

/// @brief Position of a notice in one process's log; increases by one per notice.
using NoticeOffset = std::uint64_t;

/// @brief Stores the newest distinct notices for forwarding to other hosts. Performs no I/O.
class NoticeLog
{
public:
  /// @param aCapacity notices stored; the oldest are dropped to bound memory
  explicit NoticeLog(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /// @return whether the notice was new
  bool Add(const CrashNotice& aNotice);
  /// @brief Returns at most aMaxCount notices from aFrom on.
  [[nodiscard]] CrashNotices Since(NoticeOffset aFrom, std::size_t aMaxCount) const;
  /// @brief Returns the offset after the last notice that Since() returns.
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
