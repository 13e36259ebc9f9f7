#pragma once

#include <cstdint>     // for uint32_t
#include <string_view> // for string_view

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::peers {

/// @brief Returns how long a host waits before it reads the topic of hosts when the whole
/// deployment starts for the first time.
///
/// The delay falls with the capacity, so that the hosts which will be readers and relays register
/// first. The others find them in the topic and need not register. A hash of the name spreads the
/// calls of hosts that start together.
/// @param aCapacity link speed (Mbit/s) times share of a core (percent); zero if unknown: no delay
/// @see Roster::ShouldRegister
[[nodiscard]] base::Duration StartDelay(std::uint32_t aCapacity, std::string_view aName);

} // namespace ferrytray::peers
