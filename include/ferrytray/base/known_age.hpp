#pragma once

#include <optional> // for optional

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::base {

/// @brief The maximum age of followed data that a process may use to deny a caller something.
///
/// A follower knows every change that was acknowledged before its last answered read began. A
/// denial is thus correct while that read is no older than the bound within which changes take
/// effect; a tenth of the bound is reserved for clock drift.
/// @param aPropagationBound the time within which a change takes effect
constexpr Duration ToMaxDenialAge(Duration aPropagationBound)
{
  constexpr int kUsablePercent = 90;
  constexpr int kPercent = 100;
  return aPropagationBound * kUsablePercent / kPercent;
}

/// @brief Whether a newer change may be in effect. @param aLastReadAt unset: nothing was read yet
inline bool MayBeBehind(std::optional<TimePoint> aLastReadAt,
                        Duration aMaxDenialAge,
                        TimePoint aNow)
{
  return !aLastReadAt || aNow > *aLastReadAt + aMaxDenialAge;
}

} // namespace ferrytray::base
