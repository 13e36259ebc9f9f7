#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint64_t
#include <optional>      // for optional
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::telemetry {

struct LogRateLimiterOptions
{
  base::Duration m_interval =
    std::chrono::seconds(10);   ///< minimum time between two lines of one cause
  std::size_t m_maxCauses = 64; ///< maximum number of causes logged per interval
};

/// @brief Admits one log line per cause and interval and counts the suppressed ones. Does no I/O.
///
/// Other writers may append malformed records to a shared log thousands of times per second.
class LogRateLimiter
{
public:
  explicit LogRateLimiter(LogRateLimiterOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Registers one event of a cause.
  /// @return if the event is to be logged, the number of events of its cause suppressed since the
  /// last logged one
  std::optional<std::uint64_t> Admit(std::string_view aCause, base::TimePoint aNow);

private:
  struct Cause
  {
    base::TimePoint m_loggedAt{};
    std::uint64_t m_suppressed = 0;
  };

  LogRateLimiterOptions m_options;
  std::unordered_map<std::string, Cause> m_causes;
};

} // namespace ferrytray::telemetry
