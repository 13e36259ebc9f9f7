#include "ferrytray/base/time.hpp"

namespace ferrytray::base {

TimePoint MonotonicNow()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace ferrytray::base
