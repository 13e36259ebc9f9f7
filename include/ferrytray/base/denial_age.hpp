#pragma once

#include <optional> // for optional

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::base {

/// @brief How old what a process follows may be for it to deny a caller something by that.
///
/// Whatever was acknowledged before the follower's last answered read was begun is known. So what
/// it denies is right as long as that read is no older than the bound within which a change is in
/// force; a tenth of the bound is left for clocks that run apart.
/// @param aPropagationBound that bound
constexpr Duration ToMaxDenialAge(Duration aPropagationBound)
{
  constexpr int kUsablePercent = 90;
  constexpr int kPercent = 100;
  return aPropagationBound * kUsablePercent / kPercent;
}

/// @brief Whether something newer may be in force. @param aLastReadAt unset: nothing was heard yet
inline bool MayBeBehind(std::optional<TimePoint> aLastReadAt,
                        Duration aMaxDenialAge,
                        TimePoint aNow)
{
  return !aLastReadAt || aNow > *aLastReadAt + aMaxDenialAge;
}

} // namespace ferrytray::base
