#include "ferrytray/limits/admission.hpp"

#include <algorithm> // for max

namespace ferrytray::limits {

base::Result<void> CheckDeadline(const AdmissionEstimate& aEstimate, base::TimePoint aNow)
{
  if (!aEstimate.m_deadline) {
    return {};
  }
  const base::TimePoint expected = aNow + aEstimate.m_expectedFirstToken;
  if (expected <= *aEstimate.m_deadline) {
    return {};
  }
  constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(100);
  const base::Duration late = expected - *aEstimate.m_deadline;
  const base::Duration retryAfter =
    std::max({ late, aEstimate.m_expectedQueueTime, kMinRetryAfter });
  return tl::unexpected(base::Failure{ base::ErrorCode::DeadlineUnreachable,
                                       "the deadline cannot be met",
                                       base::RunState::NotRun,
                                       retryAfter });
}

} // namespace ferrytray::limits
