#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <deque>    // for deque
#include <optional> // for optional
#include <utility>  // for move
#include <vector>   // for vector

#include "ferrytray/cache/store_feed.hpp" // for StoreChange

namespace ferrytray::cache {

/// @brief Bounded history of changes to a store's contents, for followers on other hosts.
///
/// Changes are numbered consecutively within a series. A new series starts when the contents are
/// replaced as a whole.
class ChangeHistory
{
public:
  void Add(StoreChange aChange)
  {
    m_changes.push_back(std::move(aChange));
    ++m_next;
    if (m_changes.size() > kMaxChanges) {
      m_changes.pop_front();
    }
  }

  /// @brief The contents were replaced, so that earlier positions are invalid.
  void StartSeries()
  {
    ++m_series;
    m_next = 0;
    m_changes.clear();
  }

  /// @brief The changes from a number on; empty if they were dropped or belong to another series.
  [[nodiscard]] std::optional<std::vector<StoreChange>> Since(std::uint64_t aSeries,
                                                              std::uint64_t aNumber) const
  {
    const std::uint64_t first = m_next - m_changes.size();
    if (aSeries != m_series || aNumber < first || aNumber > m_next) {
      return std::nullopt;
    }
    const auto from = m_changes.begin() + static_cast<std::ptrdiff_t>(aNumber - first);
    return std::vector<StoreChange>(from, m_changes.end());
  }

  [[nodiscard]] std::uint64_t Series() const { return m_series; }
  [[nodiscard]] std::uint64_t Next() const { return m_next; }

private:
  /// Several seconds of changes: followers poll several times a second, and a store changes some
  /// tens of times a second.
  static constexpr std::size_t kMaxChanges = 512;

  std::uint64_t m_series = 1;
  std::uint64_t m_next = 0;
  std::deque<StoreChange> m_changes;
};

} // namespace ferrytray::cache
