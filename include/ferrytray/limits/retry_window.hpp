#pragma once

#include <array>   // for array
#include <cstddef> // for size_t
#include <cstdint> // for int64_t
#include <map>     // for map
#include <string>  // for string

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::limits {

/// @brief Options of the retry budget that all hosts share. @see RetryWindow
struct RetryWindowOptions
{
  double m_ratio = 0.2; ///< retries per request, over all hosts (settings)
  double m_slack = 1;   ///< retries in a window beyond that, over all hosts (settings)
  base::Duration m_window = std::chrono::seconds(10); ///< in which both are counted (settings)
  /// Fraction of the ratio that is used. Hosts count requests when they read them, which may be
  /// later than their callers sent them.
  double m_usedFraction = 0.95;
  /// Retries in a window that each host may send beyond its part of the ratio, unless the slack is
  /// less than one per host. A host with few requests would otherwise never retry. The rest of the
  /// slack covers retries that are under way when a window begins.
  double m_maxHostAllowance = 1;
};

/// @brief Decides which requests this host may retry, so that all hosts together keep the retry
/// budget of each service. Does no I/O and needs no messages between hosts.
///
/// In each window that begins while this host runs, its retries are at most
///
///     ratio * (requests in the window + requests in the window before) / 2 + allowance.
///
/// A process that starts within the window has no earlier requests and gets no allowance. As the
/// bound is linear in the requests, the bounds of all hosts, and of all processes that ran on a
/// host, add up to the ratio times the mean of the requests in two consecutive windows plus one
/// allowance per host. Half of the budget of the last window can be spent at once, the other half
/// as requests arrive.
class RetryWindow
{
public:
  explicit RetryWindow(RetryWindowOptions aOptions = {})
    : m_options(aOptions)
  {
    SetHostCount(1);
  }

  /// @brief Counts a request that a caller sent on a route to the service, whatever becomes of it.
  void OnRequest(const std::string& aService, base::TimePoint aNow);
  /// @brief Counts and allows one retry if the budget permits it.
  bool TryRetry(const std::string& aService, base::TimePoint aNow);
  /// @brief Returns how many retries the budget permits now; a fraction permits none.
  [[nodiscard]] double Remaining(const std::string& aService, base::TimePoint aNow) const;
  /// @brief Sets the number of hosts that share the slack, as far as they are known.
  void SetHostCount(std::size_t aHosts);

private:
  static constexpr std::int64_t kSlotsPerWindow = 40;
  struct Slot
  {
    std::int64_t m_number = -1;
    double m_requests = 0;
    double m_retries = 0;
  };
  struct Service
  {
    std::array<Slot, 2 * static_cast<std::size_t>(kSlotsPerWindow)> m_slots{}; ///< two windows
    std::int64_t m_firstSlot = 0; ///< that of the first request
  };

  [[nodiscard]] std::int64_t SlotNumberAt(base::TimePoint aNow) const;
  /// Returns the slot for counting.
  static Slot& SlotOf(Service& aService, std::int64_t aNumber);
  /// Returns what was counted; zero for slots that are too old.
  static Slot Counts(const Service& aService, std::int64_t aNumber);

  RetryWindowOptions m_options;
  double m_hostAllowance = 0;
  std::map<std::string, Service> m_services;
};

} // namespace ferrytray::limits
