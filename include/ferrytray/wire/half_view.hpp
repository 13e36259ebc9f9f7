#pragma once

#include "ferrytray/config/document.hpp"   // for HalfRule
#include "ferrytray/control/half_rule.hpp" // for HalfView
#include "ferrytray/wire/frames.hpp"       // for HalfEpochs

namespace ferrytray::wire {

/// @brief Combines the desired owner of a hand-over rule, from the configuration, with its ended
/// epochs, from the log.
[[nodiscard]] control::HalfView MakeHalfView(const config::HalfRule& aRule,
                                             const HalfEpochs& aEpochs);

} // namespace ferrytray::wire
