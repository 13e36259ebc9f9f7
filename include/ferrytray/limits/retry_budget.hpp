#pragma once

#include <algorithm> // for min
#include <cstdint>   // for uint32_t

#include "ferrytray/base/error.hpp" // for RunState
#include "ferrytray/base/time.hpp"  // for Duration, TimePoint

namespace ferrytray::limits {

struct RetryBudgetOptions
{
  double m_retriesPerSuccess = 0.1; ///< retries earned by a success
  double m_maxBalance = 10;         ///< maximum and initial balance
  std::uint32_t m_maxAttempts = 3;  ///< per request, including the first
};

/// @brief State of a request after a failed attempt.
struct FailedAttempt
{
  base::RunState m_run = base::RunState::Unknown;
  bool m_idempotent = false;
  std::uint32_t m_attempts = 1;        ///< attempts made so far
  base::TimePoint m_deadline;          ///< when the caller stops waiting
  base::Duration m_expectedDuration{}; ///< duration of another attempt
};

/// @brief Decides whether a failed attempt may be retried.
///
/// Each success adds a fraction of a retry to the balance, so retries cannot amplify an overload.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {})
    : m_options(aOptions)
    , m_balance(aOptions.m_maxBalance)
  {
  }

  void OnSuccess()
  {
    m_balance = std::min(m_options.m_maxBalance, m_balance + m_options.m_retriesPerSuccess);
  }

  /// @brief Takes one retry from the balance if the request may be retried. @return whether it may
  bool TryRetry(const FailedAttempt& aFailed, base::TimePoint aNow)
  {
    const bool repeatable = aFailed.m_idempotent || aFailed.m_run == base::RunState::NotRun;
    const bool inTime = aNow + aFailed.m_expectedDuration < aFailed.m_deadline;
    const bool attemptsLeft = aFailed.m_attempts < m_options.m_maxAttempts;
    if (!repeatable || !inTime || !attemptsLeft || m_balance < 1.0) {
      return false;
    }
    m_balance -= 1.0;
    return true;
  }

  [[nodiscard]] double Balance() const { return m_balance; }

private:
  RetryBudgetOptions m_options;
  double m_balance;
};

} // namespace ferrytray::limits
