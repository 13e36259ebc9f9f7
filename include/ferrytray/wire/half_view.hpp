#pragma once

#include "ferrytray/config/document.hpp"   // for HalfRule
#include "ferrytray/control/half_rule.hpp" // for HalfView
#include "ferrytray/wire/frames.hpp"       // for HalfEpochs

namespace ferrytray::wire {

/// @brief A hand-over rule as its decisions see it: what the file wishes, what the log says.
[[nodiscard]] control::HalfView MakeHalfView(const config::HalfRule& aRule,
                                             const HalfEpochs& aEpochs);

} // namespace ferrytray::wire
