#pragma once

#include <optional>    // for optional
#include <string_view> // for string_view

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::net {

/// @brief Parses the value of a Retry-After header: seconds, which may have a fraction. Dates are
/// not supported, since hosts have no common clock. More than a day is shortened to a day.
/// @return empty if the value is not a finite number of at least 0
[[nodiscard]] std::optional<base::Duration> ParseRetryAfter(std::string_view aValue);

} // namespace ferrytray::net
