#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/error.hpp"          // for Result
#include "ferrytray/limits/token_bucket.hpp" // for TokenBucket

namespace ferrytray::limits {

/// @brief Limits of one client account, over all gates together.
struct AccountLimit
{
  double m_requestsPerSecond = 10;
  double m_burst = 20;
  std::uint32_t m_maxConcurrent = 100;
  auto operator<=>(const AccountLimit&) const = default;
};

/// @brief Options for dividing an account's limits between gates.
///
/// Gates share a limit without a coordinator: each reports how much of the account's traffic it
/// received and enforces that fraction of the limit. The minimum share lets a gate without recent
/// traffic admit requests, and is all that a partitioned gate keeps.
struct ShareOptions
{
  double m_minShare = 0.05;     ///< smallest fraction of a limit that a gate may use
  double m_overlapFactor = 1.2; ///< shares sum to more than 1, so that shifted traffic is admitted
};

/// @brief Computes a gate's fraction of an account's limit.
/// @param aOwnDemand requests received here in the last window
/// @param aTotalDemand requests received by all known gates, this one included
/// @param aGateCount known gates, this one included
/// @return a fraction from the minimum share to 1
double ComputeShare(double aOwnDemand,
                    double aTotalDemand,
                    std::uint32_t aGateCount,
                    const ShareOptions& aOptions);

/// @brief Limits request rate and concurrency per client account at one gate.
class AccountLimiter
{
public:
  /// @brief Sets an account's limit, effective immediately.
  void SetLimit(const std::string& aAccount, const AccountLimit& aLimit, base::TimePoint aNow);
  /// @brief Sets the fraction of the limit that this gate may use.
  void SetShare(const std::string& aAccount, double aShare, base::TimePoint aNow);
  /// @brief Removes an account and its counters.
  void Remove(const std::string& aAccount);

  /// @brief Admits one request or returns the reason for refusing it.
  /// @return RateLimited or ConcurrencyLimited with m_retryAfter set, UnknownKey for an account
  /// without a limit
  base::Result<void> Admit(const std::string& aAccount, base::TimePoint aNow);
  /// @brief Must be called once when an admitted request ends.
  void Release(const std::string& aAccount);

  /// @brief Returns the number of requests admitted and not yet released.
  [[nodiscard]] std::uint32_t Concurrent(const std::string& aAccount) const;
  /// @brief Returns the requests received since the last call, refused ones included, and resets
  /// the count.
  std::uint64_t TakeDemand(const std::string& aAccount);

private:
  struct State
  {
    AccountLimit m_limit;
    double m_share = 1.0;
    std::uint32_t m_concurrent = 0;
    std::uint64_t m_demand = 0;
    TokenBucket m_bucket;
  };

  static void ApplyShare(State& aState, base::TimePoint aNow);
  std::unordered_map<std::string, State> m_accounts;
};

} // namespace ferrytray::limits
