#pragma once

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::control {

/// @brief Log offset at which a lease was taken. Orders carry it; a higher one supersedes a lower.
using FencingToken = std::uint64_t;

/// @brief Log record by which a host takes or renews a set of leases.
struct LeaseRecord
{
  std::string m_holder;              ///< host and incarnation
  std::vector<std::string> m_leases; ///< names
  base::Duration m_duration{};       ///< from the record's platform time
};

/// @brief A lease's holder, fencing token and expiry.
struct HeldLease
{
  std::string m_holder;
  FencingToken m_fencingToken = 0;
  base::Duration m_expires{}; ///< platform time
};

/// @brief Replays the log's lease stream; all readers reach the same state.
///
/// A record takes a lease if the lease has expired at the record's platform time or already belongs
/// to the record's holder. A renewal keeps the fencing token.
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
  base::Duration m_maxSendTime = std::chrono::seconds(2); ///< an order is dropped after this time
  base::Duration m_clockMargin = std::chrono::milliseconds(500);
};

/// @brief One host's view of one lease, by its monotonic clock.
///
/// The duration is counted from before the append was sent, so the holder considers the lease
/// expired before any other host does.
class LeaseHolder
{
public:
  LeaseHolder(std::string aHolder, LeaseHolderOptions aOptions)
    : m_holder(std::move(aHolder))
    , m_options(aOptions)
  {
  }

  /// @brief Whether to append a record now to take or renew the lease.
  /// @param aHeld the lease according to the log, if it was taken
  /// @param aPlatformNow the platform's clock as last read
  [[nodiscard]] bool ShouldAppend(const std::optional<HeldLease>& aHeld,
                                  base::Duration aPlatformNow,
                                  base::TimePoint aNow) const;
  /// @brief An append is about to be sent.
  void OnAppendSent(base::TimePoint aNow);
  /// @brief This host's own record was read back from the log.
  void OnReadBack(const std::optional<HeldLease>& aHeld, base::TimePoint aNow);

  /// @brief Whether an order may be sent now. Must be checked immediately before each send.
  /// @param aChecksFencing whether the endpoint itself refuses old fencing tokens
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
