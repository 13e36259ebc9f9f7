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

/// @brief Append this batch to the claim stream, then call OnAppendEnded.
struct AppendBatch
{
  std::vector<ClaimEntry> m_entries;
};

/// @brief The claim holds its key: dispatch now.
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

/// @brief The log did not settle the claim in time: refuse, nothing ran.
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
  base::Duration m_window = std::chrono::hours(1); ///< the log must keep longer than this
};

/// @brief One gate's part in the claims: group commit, read back, release.
///
/// A claim is dispatched only after it was read back as the winner, so the reply to the append
/// is never trusted: a lost one is settled by reading. A claim that was given up is released
/// by id, again and again until the release is read back.
class ClaimCoordinator
{
public:
  explicit ClaimCoordinator(ClaimOptions aOptions = {})
    : m_options(aOptions)
    , m_table(aOptions.m_window)
  {
  }

  /// @brief A keyed request arrived. Look the key up in Table() first.
  /// @return at once ClaimUnsettled when too many wait, else perhaps AppendBatch
  ClaimActions OnClaim(const Claim& aClaim, base::TimePoint aNow);
  /// @brief The claim's request ended; the key stays held.
  ClaimActions OnDone(const base::Digest128& aClaim);
  /// @brief The claim's request certainly ran nothing; the key is set free.
  ClaimActions OnNotRun(const base::Digest128& aClaim);
  /// @brief The append call returned or was lost; what it wrote is settled by reading.
  ClaimActions OnAppendEnded(bool aReplied);
  /// @brief The next record of the stream was read.
  ClaimActions OnRecord(const LogPosition& aPosition, std::span<const ClaimEntry> aEntries);
  /// @brief Gives up claims that the log has not settled.
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
