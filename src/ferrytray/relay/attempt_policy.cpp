#include "ferrytray/relay/attempt_policy.hpp"

namespace ferrytray::relay {

std::string_view ToString(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::NotSent:
      return "not_sent";
    case AttemptOutcome::NotRun:
      return "not_run";
    case AttemptOutcome::ErrorReply:
      return "failure";
    case AttemptOutcome::Broken:
      break;
  }
  return "broken";
}

bool MayRetry(const RetryContext& aContext, const AttemptLimits& aLimits)
{
  if (aContext.m_sends >= aLimits.m_maxSends || aContext.m_remaining < aLimits.m_minRemaining) {
    return false;
  }
  if (aContext.m_endpointsUsed >= aContext.m_maxEndpoints) {
    return false;
  }
  return aContext.m_repeatable || !aContext.m_mayHaveRun;
}

NextStep DecideNextStep(const RetryContext& aContext, bool aRetryGranted)
{
  if (aRetryGranted) {
    return NextStep::Retry;
  }
  if (aContext.m_replyStarted) {
    return NextStep::AbortReply;
  }
  if (aContext.m_outcome == AttemptOutcome::ErrorReply && aContext.m_forwardable) {
    return NextStep::ForwardReply;
  }
  return aContext.m_mayHaveRun ? NextStep::FailUnknown : NextStep::Refuse;
}

} // namespace ferrytray::relay
