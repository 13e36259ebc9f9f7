#pragma once

#include <algorithm> // for max, min

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::limits {

/// @brief A token bucket whose rate may change at any time.
class TokenBucket
{
public:
  /// @param aRate tokens per second
  /// @param aBurst capacity; the bucket starts full
  TokenBucket(double aRate, double aBurst, base::TimePoint aNow)
    : m_rate(aRate)
    , m_burst(aBurst)
    , m_tokens(aBurst)
    , m_refilledAt(aNow)
  {
  }

  /// @brief Takes one token if one is available.
  bool TryTake(base::TimePoint aNow)
  {
    Refill(aNow);
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

  /// @brief Returns the time until a token is available.
  [[nodiscard]] base::Duration WaitForToken(base::TimePoint aNow)
  {
    Refill(aNow);
    if (m_tokens >= 1.0) {
      return base::Duration::zero();
    }
    return base::FromSeconds((1.0 - m_tokens) / m_rate);
  }

  /// @brief Changes the rate and capacity from aNow on.
  void SetRate(double aRate, double aBurst, base::TimePoint aNow)
  {
    Refill(aNow);
    m_rate = aRate;
    m_burst = aBurst;
    m_tokens = std::min(m_tokens, aBurst);
  }

private:
  void Refill(base::TimePoint aNow)
  {
    const base::Duration elapsed = std::max(aNow - m_refilledAt, base::Duration::zero());
    m_tokens = std::min(m_burst, m_tokens + base::Seconds(elapsed) * m_rate);
    m_refilledAt = std::max(m_refilledAt, aNow);
  }

  double m_rate;
  double m_burst;
  double m_tokens;
  base::TimePoint m_refilledAt;
};

} // namespace ferrytray::limits
