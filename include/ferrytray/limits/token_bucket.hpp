#pragma once

#include <algorithm> // for max, min

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::limits {

/// @brief A token bucket whose rate may change at any time.
class TokenBucket
{
public:
  /// @param aRate tokens a second
  /// @param aBurst the most that the bucket holds
  TokenBucket(double aRate, double aBurst, base::TimePoint aNow)
    : m_rate(aRate)
    , m_burst(aBurst)
    , m_level(aBurst)
    , m_at(aNow)
  {
  }

  /// @brief Takes one token if there is one.
  bool TryTake(base::TimePoint aNow)
  {
    Refill(aNow);
    if (m_level < 1.0) {
      return false;
    }
    m_level -= 1.0;
    return true;
  }

  /// @brief How long until a token is there.
  [[nodiscard]] base::Duration WaitForToken(base::TimePoint aNow)
  {
    Refill(aNow);
    if (m_level >= 1.0) {
      return base::Duration::zero();
    }
    return base::FromSeconds((1.0 - m_level) / m_rate);
  }

  /// @brief Changes the rate from now on.
  void SetRate(double aRate, double aBurst, base::TimePoint aNow)
  {
    Refill(aNow);
    m_rate = aRate;
    m_burst = aBurst;
    m_level = std::min(m_level, aBurst);
  }

private:
  void Refill(base::TimePoint aNow)
  {
    const base::Duration passed = std::max(aNow - m_at, base::Duration::zero());
    m_level = std::min(m_burst, m_level + base::Seconds(passed) * m_rate);
    m_at = std::max(m_at, aNow);
  }

  double m_rate;
  double m_burst;
  double m_level;
  base::TimePoint m_at;
};

} // namespace ferrytray::limits
