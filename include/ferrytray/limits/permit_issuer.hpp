#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t
#include <optional>      // for optional
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp"              // for Duration, TimePoint
#include "ferrytray/limits/endpoint_limits.hpp" // for EndpointKey, LimitReport
#include "ferrytray/limits/token_bucket.hpp"    // for TokenBucket

namespace ferrytray::limits {

struct PermitIssuerOptions
{
  /// Capacity of an endpoint's token bucket: this many requests, or those of m_burstTime if that is
  /// more.
  double m_minBurst = 2;
  base::Duration m_burstTime = std::chrono::milliseconds(100);
  /// Requests per second of an endpoint that names less, so that hosts notice when its limit ends.
  double m_minRate = 0.25;
  /// One grant has the permits of this time, at least one, so that messages don't grow with the
  /// limit.
  base::Duration m_batchTime = std::chrono::milliseconds(50);
  /// The rate grows only this long after an answer showed that the limit is lifted: the time over
  /// which the operators count requests, which may have begun just before.
  base::Duration m_holdTime = std::chrono::seconds(4);
  /// A limit that no answer has named for this long counts as lifted, although no answer showed it.
  /// Answers of a saturated endpoint take some seconds.
  base::Duration m_silentTime = std::chrono::seconds(10);
  double m_growthPerSecond = 1.5; ///< factor of the rate after the hold time
  /// The endpoint is unlimited this long after its rate began to grow, or if no request was denied
  /// for m_idleTime.
  base::Duration m_growthTime = std::chrono::seconds(8);
  base::Duration m_idleTime = std::chrono::seconds(2);
  /// Denied hosts that may ask again for each permit that becomes available. More than one, since a
  /// host asks only when it has a request to send, often later than it may.
  double m_retriesPerPermit = 4;
  base::Duration m_maxRetryDelay = std::chrono::seconds(5);
  base::Duration m_retention = std::chrono::seconds(30); ///< after the last request
  /// Endpoints kept at a time; permits for further ones are denied to bound memory.
  std::size_t m_maxEntries = 16384;
};

/// @brief Reply to a request for permits.
struct PermitDecision
{
  std::uint32_t m_granted = 0;   ///< permits for one request each
  bool m_unlimited = false;      ///< the limit has ended: no permits are needed any more
  base::Duration m_retryAfter{}; ///< if none are granted: when to request again
};

/// @brief Issues the permits for limited endpoints, for all hosts that send to them. Does no I/O.
///
/// The limit of an endpoint applies to all hosts together, and at some requests per second it is
/// smaller than the number of hosts, so that no share per host would be of use. One host per
/// endpoint counts the requests of all instead. It grants a permit whenever the limit allows one,
/// to the host that asks first. A host that is denied one is given a time of its own at which to
/// ask again, so that hosts with much demand don't ask for each request.
///
/// When answers no longer name the limit, the rate grows step by step before the endpoint becomes
/// unlimited, as a sudden return of its usual load might overload it again.
class PermitIssuer
{
public:
  explicit PermitIssuer(PermitIssuerOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Handles a host's request for permits.
  /// @param aReport what is known of the endpoint's limit
  /// @param aShare fraction of the limit that this issuer may grant
  PermitDecision Request(const LimitReport& aReport, double aShare, base::TimePoint aNow);
  /// @brief Drops endpoints whose retention has ended.
  void Expire(base::TimePoint aNow);
  [[nodiscard]] std::size_t Count() const { return m_entries.size(); }

private:
  struct Entry
  {
    TokenBucket m_bucket;
    base::TimePoint m_requestedAt;
    base::TimePoint m_nextRetry;               ///< for the next host that is denied
    base::TimePoint m_deniedAt;                ///< last denial
    std::optional<base::TimePoint> m_liftedAt; ///< first report that the limit is lifted
    bool m_unlimited = false;
  };

  /// Requests per second that may be granted now.
  [[nodiscard]] double Rate(const Entry& aEntry, double aLimit, base::TimePoint aNow) const;
  [[nodiscard]] double Burst(double aRate) const;
  /// Time since the rate began to grow; zero before.
  [[nodiscard]] base::Duration GrowthTime(const Entry& aEntry, base::TimePoint aNow) const;
  void UpdateLifted(Entry& aEntry, const LimitReport& aReport, base::TimePoint aNow) const;
  [[nodiscard]] PermitDecision Deny(Entry& aEntry, double aRate, base::TimePoint aNow) const;

  PermitIssuerOptions m_options;
  std::unordered_map<EndpointKey, Entry> m_entries;
};

} // namespace ferrytray::limits
