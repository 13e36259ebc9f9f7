#pragma once

#include <chrono> // for microseconds, time_point

namespace ferrytray::base {

/// @brief All spans of time are whole microseconds.
using Duration = std::chrono::microseconds;

/// @brief Time since the machine started, with the time in which it was suspended.
///
/// The steady clock stands still while the machine is suspended: by it, a lease that ran out
/// meanwhile would be held and what was heard before would be fresh.
struct ElapsedClock
{
  // NOLINTBEGIN(readability-identifier-naming): the names that clocks have in the standard library
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<ElapsedClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now();
  // NOLINTEND(readability-identifier-naming)
};

/// @brief A point on the monotonic clock. Decision parts are given it, never read it.
using TimePoint = ElapsedClock::time_point;

/// @brief Reads the monotonic clock. For daemons only.
TimePoint MonotonicNow();

/// @brief A span as fractional seconds.
inline double Seconds(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

/// @brief A span as whole milliseconds, rounded down.
inline long ToMillis(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

/// @brief Fractional seconds as a span, rounded down to a microsecond.
inline Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace ferrytray::base
