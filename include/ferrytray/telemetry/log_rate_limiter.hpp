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
  base::Duration m_interval = std::chrono::seconds(10); ///< between two lines of one cause
  std::size_t m_maxCauses = 64;                         ///< within that time
};

/// @brief Lets one log line of each cause through in a while, and tells how many it kept. Pure.
///
/// What others write into a shared log may be wrong thousands of times a second.
class LogRateLimiter
{
public:
  explicit LogRateLimiter(LogRateLimiterOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Something happened for that cause.
  /// @return if it is to be logged: how many of its cause were kept since the last one that was
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
