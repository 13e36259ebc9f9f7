#pragma once

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::control {

/// @brief The log offset at which a lease was taken; orders carry it, a higher one wins.
using FencingToken = std::uint64_t;

/// @brief One host's request for leases, one log record for all of them.
struct LeaseRecord
{
  std::string m_holder;              ///< host and incarnation
  std::vector<std::string> m_leases; ///< names of those taken or renewed
  base::Duration m_duration{};       ///< from the platform's time of the record
};

/// @brief Who holds a lease.
struct HeldLease
{
  std::string m_holder;
  FencingToken m_fencingToken = 0;
  base::Duration m_expires{}; ///< platform time
};

/// @brief Replays the log's lease stream; every reader agrees.
///
/// A record takes a lease iff it is free by the platform's time of that record, or is the
/// holder's own. A renewal keeps the fencing number.
class LeaseTable
{
public:
  void Apply(std::uint64_t aOffset, base::Duration aTime, const LeaseRecord& aRecord);
  [[nodiscard]] std::optional<HeldLease> Find(const std::string& aLease) const;

private:
  std::map<std::string, HeldLease> m_leases;
};

struct LeaseHolderOptions
{
  base::Duration m_duration = std::chrono::seconds(9);
  base::Duration m_renewEvery = std::chrono::seconds(3);
  base::Duration m_maxSendTime = std::chrono::seconds(2); ///< after which an order is dropped
  base::Duration m_clockMargin = std::chrono::milliseconds(500);
};

/// @brief One host's own view of one lease, by its monotonic clock.
///
/// Counted from before the append was sent, so it ends here before it ends anywhere else.
class LeaseHolder
{
public:
  LeaseHolder(std::string aHolder, LeaseHolderOptions aOptions)
    : m_holder(std::move(aHolder))
    , m_options(aOptions)
  {
  }

  /// @brief Whether to append a record now, to take or to renew the lease.
  /// @param aHeld who holds it by the log, if anyone
  /// @param aPlatformNow the platform's clock as last read
  [[nodiscard]] bool ShouldAppend(const std::optional<HeldLease>& aHeld,
                                  base::Duration aPlatformNow,
                                  base::TimePoint aNow) const;
  /// @brief An append is about to be sent.
  void OnAppendSent(base::TimePoint aNow);
  /// @brief One's own record was read back.
  /// @param aSentAt when it was sent
  void OnReadBack(const std::optional<HeldLease>& aHeld, base::TimePoint aNow);

  /// @brief Whether an order may be sent at this moment. Check just before the send.
  /// @param aChecksFencing whether the endpoint refuses old fencing numbers itself
  [[nodiscard]] bool MaySendOrder(bool aChecksFencing, base::TimePoint aNow) const;
  [[nodiscard]] FencingToken CurrentFencingToken() const { return m_fencingToken; }

private:
  std::string m_holder;
  LeaseHolderOptions m_options;
  FencingToken m_fencingToken = 0;
  base::TimePoint m_sentAt{};
  base::TimePoint m_appendedAt{};
  base::TimePoint m_validUntil{};
  base::TimePoint m_heldSince{};
};

} // namespace ferrytray::control
