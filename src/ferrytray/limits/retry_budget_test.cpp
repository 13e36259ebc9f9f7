#include "ferrytray/limits/retry_budget.hpp"

#include "ferrytray/limits/admission.hpp" // for CheckDeadline

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kNow{ 100s };

limits::FailedAttempt Failed(base::RunState aRun, bool aIdempotent)
{
  return { aRun, aIdempotent, 1, kNow + 10s, 1s };
}

} // namespace

TEST_GROUP(RetryBudget)
{
  limits::RetryBudget m_budget;
};

TEST(RetryBudget, NeverRetriesNonIdempotentRequestsThatMayHaveRun)
{
  CHECK_FALSE(m_budget.TryRetry(Failed(base::RunState::Unknown, false), kNow));
  CHECK(m_budget.TryRetry(Failed(base::RunState::NotRun, false), kNow));
  CHECK(m_budget.TryRetry(Failed(base::RunState::Unknown, true), kNow));
}

TEST(RetryBudget, StopsAtTheDeadlineAndAtTheMaximumAttempts)
{
  CHECK_FALSE(m_budget.TryRetry(Failed(base::RunState::NotRun, true), kNow + 9s));
  auto exhausted = Failed(base::RunState::NotRun, true);
  exhausted.m_attempts = 3;
  CHECK_FALSE(m_budget.TryRetry(exhausted, kNow));
}

TEST(RetryBudget, RetriesSpendTheBudgetAndSuccessesRefillIt)
{
  int spent = 0;
  while (m_budget.TryRetry(Failed(base::RunState::NotRun, true), kNow)) {
    ++spent;
  }
  LONGS_EQUAL(10, spent);
  for (int i = 0; i < 11; ++i) {
    m_budget.OnSuccess();
  }
  CHECK(m_budget.TryRetry(Failed(base::RunState::NotRun, true), kNow));
  CHECK_FALSE(m_budget.TryRetry(Failed(base::RunState::NotRun, true), kNow));
}

TEST(RetryBudget, RefusesAnUnreachableDeadlineWithRetryAfter)
{
  const limits::AdmissionEstimate late{ kNow, kNow + 1s, 3s, 5s };
  const auto refused = limits::CheckDeadline(late, kNow);
  CHECK(refused.error().m_code == base::ErrorCode::DeadlineUnreachable);
  CHECK(refused.error().m_run == base::RunState::NotRun);
  CHECK(refused.error().m_retryAfter == 5s);
  const limits::AdmissionEstimate inTime{ kNow, kNow + 4s, 3s, 5s };
  CHECK(limits::CheckDeadline(inTime, kNow).has_value());
  CHECK(limits::CheckDeadline({ kNow, std::nullopt, 3s, 5s }, kNow).has_value());
}
