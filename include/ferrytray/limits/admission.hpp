#pragma once

#include <optional> // for optional

#include "ferrytray/base/error.hpp" // for Result
#include "ferrytray/base/time.hpp"  // for Duration, TimePoint

namespace ferrytray::limits {

/// @brief A request's deadline and the fleet's latency estimates at admission.
struct AdmissionEstimate
{
  base::TimePoint m_arrival;
  std::optional<base::TimePoint> m_deadline; ///< latest useful time of the first token
  base::Duration m_expectedFirstToken{};     ///< from now, at the best candidate
  base::Duration m_expectedQueueTime{};      ///< until the queue ahead has drained
};

/// @brief Refuses a request that cannot meet its deadline, with a time to retry after.
/// @return DeadlineUnreachable with m_retryAfter, run state NotRun
base::Result<void> CheckDeadline(const AdmissionEstimate& aEstimate, base::TimePoint aNow);

} // namespace ferrytray::limits
