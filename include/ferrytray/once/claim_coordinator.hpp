#pragma once

#include <cstddef>       // for size_t
#include <map>           // for map
#include <span>          // for span
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <variant>       // for variant
#include <vector>        // for vector

#include "ferrytray/base/time.hpp"        // for Duration, TimePoint
#include "ferrytray/once/claim_table.hpp" // for ClaimTable

namespace ferrytray::once {

/// @brief Tells the caller to append this batch to the claim stream and then call OnAppendEnded.
struct AppendBatch
{
  std::vector<ClaimEntry> m_entries;
};

/// @brief The claim holds its key; the request can be dispatched.
struct ClaimWon
{
  base::Digest128 m_id;
};

/// @brief Another claim holds the key.
struct ClaimLost
{
  base::Digest128 m_id;
  LiveClaim m_holder;
};

/// @brief The claim was neither won nor lost, for example because it was not read back in time; the
/// request was not run and must be rejected.
struct ClaimUnsettled
{
  base::Digest128 m_id;
};

using ClaimAction = std::variant<AppendBatch, ClaimWon, ClaimLost, ClaimUnsettled>;
using ClaimActions = std::vector<ClaimAction>;

struct ClaimOptions
{
  base::Duration m_settleTimeout = std::chrono::seconds(2);
  std::size_t m_maxPending = 10000;
  /// How long a claim holds its key. The log must retain records for longer than this.
  base::Duration m_window = std::chrono::hours(1);
};

/// @brief Runs the claim protocol for one gate: group commit, read-back, release.
///
/// A request is dispatched only after its claim was read back from the log as the winner. The reply
/// to the append is not relied on, so a lost reply is resolved by reading. A claim that timed out
/// is released by id; the release is repeated until it is read back.
class ClaimCoordinator
{
public:
  explicit ClaimCoordinator(ClaimOptions aOptions = {})
    : m_options(aOptions)
    , m_table(aOptions.m_window)
  {
  }

  /// @brief Handles a new request with an Idempotency-Key. Look the key up in Table() first.
  /// @return ClaimUnsettled if m_maxPending claims are pending, otherwise AppendBatch if no append
  /// is in progress
  ClaimActions OnClaim(const Claim& aClaim, base::TimePoint aNow);
  /// @brief Records that the claim's request has ended; the claim keeps holding its key.
  ClaimActions OnDone(const base::Digest128& aClaim);
  /// @brief Releases the key of a claim whose request was definitely not run.
  ClaimActions OnNotRun(const base::Digest128& aClaim);
  /// @brief Handles the end of an append call.
  /// @param aReplied false if no reply arrived; the batch may have been written and is sent again
  ClaimActions OnAppendEnded(bool aReplied);
  /// @brief Handles the next record of the stream.
  ClaimActions OnRecord(const LogPosition& aPosition, std::span<const ClaimEntry> aEntries);
  /// @brief Abandons and releases claims that were not read back before their deadline. Appends
  /// releases again that were not read back yet.
  ClaimActions OnTick(base::TimePoint aNow);

  [[nodiscard]] const ClaimTable& Table() const { return m_table; }

private:
  struct Pending
  {
    Claim m_claim;
    base::TimePoint m_deadline;
  };

  ClaimActions AppendIfIdle();
  void QueueRelease(const base::Digest128& aClaim);
  void Settle(const Claim& aReadBack, ClaimActions& aActions);

  ClaimOptions m_options;
  ClaimTable m_table;
  std::map<base::Digest128, Pending> m_pending;
  std::map<base::Digest128, Release> m_releases;
  std::vector<ClaimEntry> m_queued;
  std::vector<ClaimEntry> m_inFlight;
  bool m_appending = false;
};

} // namespace ferrytray::once
