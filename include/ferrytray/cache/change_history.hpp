#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <deque>    // for deque
#include <optional> // for optional
#include <utility>  // for move
#include <vector>   // for vector

#include "ferrytray/cache/store_feed.hpp" // for StoreChange

namespace ferrytray::cache {

/// @brief The newest changes of a store's contents, numbered for those who follow them here.
///
/// A series of numbers ends when the contents were replaced as a whole.
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

  /// @brief The contents were replaced: nobody can go on from before.
  void StartSeries()
  {
    ++m_series;
    m_next = 0;
    m_changes.clear();
  }

  /// @brief The changes from a number on; empty if they are no longer kept, or of another series.
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
  /// A follower asks several times a second; a store changes some tens of times a second.
  static constexpr std::size_t kMaxChanges = 512;

  std::uint64_t m_series = 1;
  std::uint64_t m_next = 0;
  std::deque<StoreChange> m_changes;
};

} // namespace ferrytray::cache
