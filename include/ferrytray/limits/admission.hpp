#pragma once

#include <optional> // for optional

#include "ferrytray/base/error.hpp" // for Result
#include "ferrytray/base/time.hpp"  // for Duration, TimePoint

namespace ferrytray::limits {

/// @brief What admission knows of a request and of the fleet.
struct AdmissionEstimate
{
  base::TimePoint m_arrival;
  std::optional<base::TimePoint> m_deadline; ///< when the first token is no use any more
  base::Duration m_expectedFirstToken{};     ///< the best candidate's estimate from now
  base::Duration m_expectedQueueTime{};      ///< until the queue ahead has gone
};

/// @brief Refuses at once what cannot be answered in time, and says when to come back.
/// @return DeadlineUnreachable with m_retryAfter, run state NotRun
base::Result<void> CheckDeadline(const AdmissionEstimate& aView, base::TimePoint aNow);

} // namespace ferrytray::limits
