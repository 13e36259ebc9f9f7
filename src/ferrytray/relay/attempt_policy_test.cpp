#include "ferrytray/relay/attempt_policy.hpp"

#include <string> // for string

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using relay::AttemptOutcome;
using relay::DecideNextStep;
using relay::NextStep;
using relay::RetryContext;
using relay::RetryVerdict;

namespace {

RetryContext ContextFor(AttemptOutcome aOutcome, bool aRepeatable)
{
  RetryContext context;
  context.m_outcome = aOutcome;
  context.m_repeatable = aRepeatable;
  context.m_mayHaveRun =
    aOutcome == AttemptOutcome::Broken || aOutcome == AttemptOutcome::ErrorReply;
  context.m_endpointsUsed = context.m_mayHaveRun ? 1 : 0;
  context.m_maxEndpoints = 2;
  context.m_remaining = 1s;
  return context;
}

void CheckVerdict(RetryVerdict aExpected, const RetryContext& aContext)
{
  STRCMP_EQUAL(std::string(ToString(aExpected)).c_str(),
               std::string(ToString(relay::CheckRetry(aContext, {}))).c_str());
}

void CheckStep(NextStep aExpected, NextStep aStep)
{
  LONGS_EQUAL(static_cast<int>(aExpected), static_cast<int>(aStep));
}

} // namespace

TEST_GROUP(AttemptPolicy){};

TEST(AttemptPolicy, PossiblyExecutedRequestIsRetriedOnlyIfRepeatable)
{
  CheckVerdict(RetryVerdict::MayHaveRun, ContextFor(AttemptOutcome::Broken, false));
  CheckVerdict(RetryVerdict::Allowed, ContextFor(AttemptOutcome::Broken, true));
  CheckVerdict(RetryVerdict::Allowed, ContextFor(AttemptOutcome::NotRun, false));
  CheckVerdict(RetryVerdict::Allowed, ContextFor(AttemptOutcome::NotSent, false));
}

TEST(AttemptPolicy, RefusalAfterPossibleExecutionIsReportedAsUnknown)
{
  RetryContext context = ContextFor(AttemptOutcome::NotRun, true);
  context.m_mayHaveRun = true;
  CheckStep(NextStep::FailUnknown, DecideNextStep(context, false));
}

TEST(AttemptPolicy, RespectsRouteMaxEndpoints)
{
  RetryContext context = ContextFor(AttemptOutcome::ErrorReply, true);
  context.m_endpointsUsed = 2;
  CheckVerdict(RetryVerdict::EndpointLimit, context);
}

TEST(AttemptPolicy, DoesNotRetryBelowMinimumRemainingTime)
{
  RetryContext context = ContextFor(AttemptOutcome::NotSent, true);
  context.m_remaining = 59ms;
  CheckVerdict(RetryVerdict::TooLittleTime, context);
}

TEST(AttemptPolicy, FinalStepReflectsExecutionState)
{
  CheckStep(NextStep::Refuse, DecideNextStep(ContextFor(AttemptOutcome::NotSent, false), false));
  CheckStep(NextStep::Refuse, DecideNextStep(ContextFor(AttemptOutcome::NotRun, false), false));
  CheckStep(NextStep::FailUnknown,
            DecideNextStep(ContextFor(AttemptOutcome::Broken, false), false));
  RetryContext failure = ContextFor(AttemptOutcome::ErrorReply, false);
  CheckStep(NextStep::FailUnknown, DecideNextStep(failure, false));
  failure.m_forwardable = true;
  CheckStep(NextStep::ForwardReply, DecideNextStep(failure, false));
}

TEST(AttemptPolicy, StartedReplyIsAbortedOrResumed)
{
  RetryContext context = ContextFor(AttemptOutcome::Broken, true);
  context.m_replyStarted = true;
  CheckStep(NextStep::AbortReply, DecideNextStep(context, false));
  CheckStep(NextStep::Retry, DecideNextStep(context, true));
}
