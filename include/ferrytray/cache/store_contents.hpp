#pragma once

#include <cstdint>  // for int64_t, uint32_t, uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <span>     // for span

#include "ferrytray/base/time.hpp"            // for Duration, TimePoint
#include "ferrytray/cache/change_history.hpp" // for ChangeHistory
#include "ferrytray/cache/contents_delta.hpp" // for ContentsCursor, ContentsDelta
#include "ferrytray/cache/store_feed.hpp"     // for PartName, StoreEvents

namespace ferrytray::cache {

/// @brief What the operators declare of a store.
struct StoreTraits
{
  std::uint64_t m_tokens = 0;  ///< its room
  double m_linkMegabits = 1.0; ///< a second; stores are only compared by it
};

struct ContentsOptions
{
  /// News older than this are too old to fetch by: the store may have restarted since. They count
  /// from when they were asked for: two reads of 0.5 s and a pause, and the way over another host.
  base::Duration m_maxAge = std::chrono::milliseconds(1900);
  /// The longest that a fetch may take, whatever its request asks for. Freeing parts and saving
  /// after a restart wait for it; the callers' targets leave fetches less in any case.
  base::Duration m_maxFetchTime = std::chrono::milliseconds(1200);
  /// After a restart was noticed, nothing is saved for so long: until then another host may still
  /// send fetches by the old contents, and a save under way must never be what they read.
  /// Both times above, and half a second for what is in between.
  base::Duration m_saveDelayAfterRestart = std::chrono::milliseconds(3600);
  /// Room taken by a save whose news have not come is counted for so long.
  base::Duration m_pendingTimeout = std::chrono::milliseconds(8000);
};

/// @brief What one store is known to hold. Pure.
class StoreContents
{
public:
  explicit StoreContents(StoreTraits aTraits, ContentsOptions aOptions = {})
    : m_traits(aTraits)
    , m_options(aOptions)
  {
  }

  /// @brief News that follow what is known, or the whole contents.
  /// @param aRequestedAt when they were asked for: a process that stood still may read an answer
  /// late
  void OnEvents(const StoreEvents& aEvents,
                bool aWhole,
                base::TimePoint aRequestedAt,
                base::TimePoint aNow);
  /// @brief The same from another host that follows the store.
  void OnDelta(const ContentsDelta& aDelta, base::TimePoint aRequestedAt, base::TimePoint aNow);
  /// @brief What another host that has followed up to the cursor does not know yet; empty when
  /// nothing was heard of the store.
  [[nodiscard]] std::optional<ContentsDelta> DeltaSince(const ContentsCursor& aCursor,
                                                        base::TimePoint aNow) const;
  /// @brief Up to where the other host's digests were followed.
  [[nodiscard]] const ContentsCursor& Cursor() const { return m_cursor; }
  /// @brief Digests come from another host from now on.
  void ForgetCursor() { m_cursor = {}; }
  /// @brief The store confirmed that it freed these. A few of its news never arrive, and what is
  /// believed to be there would be freed again and again.
  void OnFreed(std::uint64_t aEpoch, std::span<const PartName> aParts);
  /// @brief This host asked an endpoint to save a part here.
  void OnSaveRequested(const PartName& aPart, std::uint32_t aTokens, base::TimePoint aNow);

  /// @brief Whether what is known of the store is recent enough to go by.
  [[nodiscard]] bool IsFresh(base::TimePoint aNow) const
  {
    return m_updatedAt && aNow < *m_updatedAt + m_options.m_maxAge;
  }
  /// @brief Whether the part is whole here and may be fetched now.
  [[nodiscard]] bool MayFetch(const PartName& aPart, base::TimePoint aNow) const;
  /// @brief Whether a save of the part is on its way here, as far as this host knows.
  [[nodiscard]] bool IsPending(const PartName& aPart) const { return m_pending.contains(aPart); }
  /// @brief Whether the part should be saved here: not held, not on its way, and room for it.
  [[nodiscard]] bool MaySave(const PartName& aPart,
                             std::uint32_t aTokens,
                             base::TimePoint aNow) const;
  /// @brief On the endpoints' clock, when a fetch begun now has to have ended; then it is thrown
  /// away and the prompt is read.
  [[nodiscard]] std::optional<std::int64_t> FetchDeadline(base::TimePoint aNow,
                                                          base::Duration aTimeout) const;
  [[nodiscard]] std::uint64_t Epoch() const { return m_epoch; }
  [[nodiscard]] std::uint64_t Next() const { return m_next; }
  [[nodiscard]] const StoreTraits& Traits() const { return m_traits; }
  [[nodiscard]] const std::map<PartName, std::uint32_t>& Parts() const { return m_parts; }

private:
  struct Pending
  {
    std::uint32_t m_tokens = 0;
    base::TimePoint m_until;
  };

  void BeginEpoch(std::uint64_t aEpoch, base::TimePoint aNow);
  void Clear();
  void Apply(const StoreChange& aChange);
  void MarkUpdated(base::TimePoint aTime, base::TimePoint aNow);

  StoreTraits m_traits;
  ContentsOptions m_options;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_next = 0;
  std::optional<base::TimePoint> m_epochStartedAt;
  std::optional<base::TimePoint> m_updatedAt;
  std::optional<std::int64_t> m_clockOffset; ///< the endpoints' clock less the own one (ms)
  std::map<PartName, std::uint32_t> m_parts;
  std::uint64_t m_used = 0;
  std::map<PartName, Pending> m_pending;
  ChangeHistory m_history;
  ContentsCursor m_cursor;
};

} // namespace ferrytray::cache
