#include "ferrytray/base/time.hpp"

#include <ctime> // for clock_gettime, CLOCK_BOOTTIME, timespec

namespace ferrytray::base {

ElapsedClock::time_point ElapsedClock::now()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const auto sinceStart =
    std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return time_point(std::chrono::duration_cast<Duration>(sinceStart));
}

TimePoint MonotonicNow()
{
  return ElapsedClock::now();
}

} // namespace ferrytray::base
