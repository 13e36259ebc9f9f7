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

std::string_view ToString(RetryVerdict aVerdict)
{
  switch (aVerdict) {
    case RetryVerdict::Allowed:
      return "allowed";
    case RetryVerdict::SendLimit:
      return "send_limit";
    case RetryVerdict::TooLittleTime:
      return "too_little_time";
    case RetryVerdict::EndpointLimit:
      return "endpoint_limit";
    case RetryVerdict::MayHaveRun:
      return "may_have_run";
    case RetryVerdict::Quarantined:
      return "quarantined";
    case RetryVerdict::BudgetExhausted:
      break;
  }
  return "budget_exhausted";
}

RetryVerdict CheckRetry(const RetryContext& aContext, const AttemptLimits& aLimits)
{
  if (aContext.m_sends >= aLimits.m_maxSends) {
    return RetryVerdict::SendLimit;
  }
  if (aContext.m_remaining < aLimits.m_minRemaining) {
    return RetryVerdict::TooLittleTime;
  }
  if (aContext.m_endpointsUsed >= aContext.m_maxEndpoints) {
    return RetryVerdict::EndpointLimit;
  }
  return aContext.m_repeatable || !aContext.m_mayHaveRun ? RetryVerdict::Allowed
                                                         : RetryVerdict::MayHaveRun;
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
