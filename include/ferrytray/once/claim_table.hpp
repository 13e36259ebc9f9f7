#pragma once

#include <cstddef>       // for size_t
#include <deque>         // for deque
#include <optional>      // for optional
#include <span>          // for span
#include <unordered_map> // for unordered_map
#include <unordered_set> // for unordered_set
#include <vector>        // for vector

#include "ferrytray/base/time.hpp"        // for Duration
#include "ferrytray/once/claim_entry.hpp" // for Claim, ClaimEntry, LogOffset

namespace ferrytray::once {

/// @brief Offset and platform time of a record. Times never decrease along the stream.
struct LogPosition
{
  LogOffset m_offset = 0;
  base::Duration m_time{}; ///< the platform's clock
};

/// @brief A claim that has not been released.
struct LiveClaim
{
  Claim m_claim;
  LogPosition m_position;
  bool m_won = false; ///< its key had no live claim when this one was read
  bool m_done = false;
};

/// @brief Replays the claim stream of the log.
///
/// The state depends only on the last window of the stream. As the log retains more than one
/// window, a reader that starts later reaches the same state as one that has read everything:
/// - a key is held while any unreleased claim of it is younger than the window;
/// - a claim wins if its key was not held when it was read; its gate releases a claim that lost;
/// - a release may precede its claim (after a slow append); the claim is then ignored.
class ClaimTable
{
public:
  /// @param aWindow how long a claim holds its key, in the platform's time
  explicit ClaimTable(base::Duration aWindow)
    : m_window(aWindow)
  {
  }

  /// @brief Applies one record. Records must be applied in offset order.
  void Apply(const LogPosition& aPosition, std::span<const ClaimEntry> aEntries);

  /// @brief Returns the oldest live claim of a key, if any.
  [[nodiscard]] std::optional<LiveClaim> Find(const base::Digest128& aKey) const;
  /// @brief Returns whether this claim is live and won its key.
  [[nodiscard]] bool HasWon(const Claim& aClaim) const;
  [[nodiscard]] std::size_t Size() const { return m_keyOfClaim.size(); }

private:
  struct Expiry
  {
    base::Duration m_expiresAt;
    base::Digest128 m_id;
  };

  void Expire(base::Duration aTime);
  void Remove(const base::Digest128& aId);
  void ApplyEntry(const LogPosition& aPosition, const Claim& aClaim);
  void ApplyEntry(const LogPosition& aPosition, const Release& aRelease);
  void ApplyEntry(const LogPosition& aPosition, const Done& aDone);

  base::Duration m_window;
  std::unordered_map<base::Digest128, std::vector<LiveClaim>, base::DigestHash> m_claimsByKey;
  std::unordered_map<base::Digest128, base::Digest128, base::DigestHash> m_keyOfClaim;
  std::unordered_set<base::Digest128, base::DigestHash> m_releasedIds;
  std::deque<Expiry> m_expiryQueue;
};

} // namespace ferrytray::once
