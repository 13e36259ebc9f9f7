#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/error.hpp"          // for Result
#include "ferrytray/limits/token_bucket.hpp" // for TokenBucket

namespace ferrytray::limits {

/// @brief What one client account may use, over all gates together.
struct AccountLimit
{
  double m_requestsPerSecond = 10;
  double m_burst = 20;
  std::uint32_t m_maxConcurrent = 100;
  auto operator<=>(const AccountLimit&) const = default;
};

/// @brief The part of an account's limits that this gate may give out.
///
/// Gates share a limit without a coordinator: each tells how much of the account's traffic it
/// saw, and takes that fraction. A floor lets a gate that has seen none begin, and is all that
/// a gate cut off from the others keeps.
struct ShareOptions
{
  double m_minShare = 0.05; ///< the least fraction of a limit that a gate keeps
  double m_overlapFactor =
    1.2; ///< shares overlap a little so that a shift of traffic is not refused
};

/// @brief Computes a gate's fraction of an account's limit.
/// @param aOwnDemand requests seen here in the last window
/// @param aTotalDemand requests seen by all gates heard of, this one included
/// @param aGateCount gates heard of, this one included
/// @return a fraction from the floor to 1
double ComputeShare(double aOwnDemand,
                    double aTotalDemand,
                    std::uint32_t aGateCount,
                    const ShareOptions& aOptions);

/// @brief Rate and concurrency per client account at one gate.
class AccountLimiter
{
public:
  /// @brief Sets an account's limit; takes effect at once.
  void SetLimit(const std::string& aAccount, const AccountLimit& aLimit, base::TimePoint aNow);
  /// @brief Sets the fraction of the limit that this gate may give out.
  void SetShare(const std::string& aAccount, double aShare, base::TimePoint aNow);
  /// @brief Forgets an account.
  void Remove(const std::string& aAccount);

  /// @brief Admits one request or says why not.
  /// @return RateLimited or ConcurrencyLimited with m_retryAfter set, UnknownKey for a
  /// forgotten account
  base::Result<void> Admit(const std::string& aAccount, base::TimePoint aNow);
  /// @brief One admitted request has ended.
  void Release(const std::string& aAccount);

  /// @brief Requests admitted and not yet released.
  [[nodiscard]] std::uint32_t Concurrent(const std::string& aAccount) const;
  /// @brief Requests asked for since the last call, and starts counting anew.
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
