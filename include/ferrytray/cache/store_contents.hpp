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

/// @brief Properties of a store from the operators' configuration.
struct StoreTraits
{
  std::uint64_t m_tokens = 0;  ///< capacity
  double m_linkMegabits = 1.0; ///< per second; only compared between stores
};

struct ContentsOptions
{
  /// Fetches and saves require events younger than this, since the store may have restarted in the
  /// meantime. The age counts from the request for the events. Covers two reads of 0.5 s, the pause
  /// between them and the relay by another host.
  base::Duration m_maxAge = std::chrono::milliseconds(1900);
  /// Maximum duration of a fetch, whatever the request allows. Freeing parts, and saving after a
  /// restart, wait for this long; the callers' latency targets leave less time to fetches anyway.
  base::Duration m_maxFetchTime = std::chrono::milliseconds(1200);
  /// Nothing is saved for this long after a restart was detected. Until then, other hosts may still
  /// send fetches based on the old contents, which must never read a save in progress. Sum of the
  /// two times above and a margin of 0.5 s.
  base::Duration m_saveDelayAfterRestart = std::chrono::milliseconds(3600);
  /// A requested save counts as used capacity for this long if no event confirms it.
  base::Duration m_pendingTimeout = std::chrono::milliseconds(8000);
};

/// @brief Tracks the contents of a store and decides what may be fetched or saved. Does no I/O.
class StoreContents
{
public:
  explicit StoreContents(StoreTraits aTraits, ContentsOptions aOptions = {})
    : m_traits(aTraits)
    , m_options(aOptions)
  {
  }

  /// @brief Applies events that continue the known contents, or replaces the contents.
  /// @param aWhole whether the events list the whole contents
  /// @param aRequestedAt when the events were requested; a suspended process may read the response
  /// much later
  void OnEvents(const StoreEvents& aEvents,
                bool aWhole,
                base::TimePoint aRequestedAt,
                base::TimePoint aNow);
  /// @brief Applies changes received from another host that follows the store.
  void OnDelta(const ContentsDelta& aDelta, base::TimePoint aRequestedAt, base::TimePoint aNow);
  /// @brief The changes after a cursor, or the whole contents if the cursor is invalid. Empty
  /// before the first events of the store.
  [[nodiscard]] std::optional<ContentsDelta> DeltaSince(const ContentsCursor& aCursor,
                                                        base::TimePoint aNow) const;
  /// @brief Position after the last delta from the other host.
  [[nodiscard]] const ContentsCursor& Cursor() const { return m_cursor; }
  /// @brief Resets the cursor when another host becomes the source of deltas.
  void ForgetCursor() { m_cursor = {}; }
  /// @brief The store confirmed that it freed these parts. Needed because some events are lost, and
  /// the parts would then be freed again and again.
  void OnFreed(std::uint64_t aEpoch, std::span<const PartName> aParts);
  /// @brief This host asked an endpoint to save a part to the store.
  void OnSaveRequested(const PartName& aPart, std::uint32_t aTokens, base::TimePoint aNow);

  /// @brief Whether the known contents are recent enough for fetches and saves.
  [[nodiscard]] bool IsFresh(base::TimePoint aNow) const
  {
    return m_updatedAt && aNow < *m_updatedAt + m_options.m_maxAge;
  }
  /// @brief Whether the store holds the complete part and it may be fetched now.
  [[nodiscard]] bool MayFetch(const PartName& aPart, base::TimePoint aNow) const;
  /// @brief Whether this host knows of a save of the part that is in progress.
  [[nodiscard]] bool IsPending(const PartName& aPart) const { return m_pending.contains(aPart); }
  /// @brief Whether the part may be saved: neither stored nor pending, and the capacity suffices.
  [[nodiscard]] bool MaySave(const PartName& aPart,
                             std::uint32_t aTokens,
                             base::TimePoint aNow) const;
  /// @brief Deadline of a fetch that starts now, on the endpoints' clock (ms). A fetch that misses
  /// it is discarded, and the prompt is prefilled.
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
