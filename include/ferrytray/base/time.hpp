#pragma once

#include <chrono> // for microseconds, time_point

namespace ferrytray::base {

/// @brief All durations are whole microseconds.
using Duration = std::chrono::microseconds;

/// @brief Time since the machine booted, including the time in which it was suspended.
///
/// The steady clock stops while the machine is suspended: by it, a lease that expired meanwhile
/// would still be held and data received before the suspension would count as fresh.
struct ElapsedClock
{
  // NOLINTBEGIN(readability-identifier-naming): names required by the standard Clock requirements
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<ElapsedClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now();
  // NOLINTEND(readability-identifier-naming)
};

/// @brief A point on the monotonic clock. Decision logic takes it as an argument, never reads it.
using TimePoint = ElapsedClock::time_point;

/// @brief Reads the monotonic clock. For daemons only.
TimePoint MonotonicNow();

/// @brief Converts a duration to fractional seconds.
inline double Seconds(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

/// @brief Converts a duration to whole milliseconds, truncated.
inline long ToMillis(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

/// @brief Converts fractional seconds to a duration, truncated to microseconds.
inline Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace ferrytray::base
