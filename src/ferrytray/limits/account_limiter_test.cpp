#include "ferrytray/limits/account_limiter.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{ 1000s };

int CountAdmitted(limits::AccountLimiter& aLimiter, int aTries, base::TimePoint aNow)
{
  int admitted = 0;
  for (int i = 0; i < aTries; ++i) {
    admitted += aLimiter.Admit("lab", aNow) ? 1 : 0;
  }
  return admitted;
}

} // namespace

TEST_GROUP(AccountLimiter)
{
  limits::AccountLimiter m_limiter;
};

TEST(AccountLimiter, RefusesAboveTheRateAndReturnsRetryAfter)
{
  m_limiter.SetLimit("lab", { 2, 4, 100 }, kStart);
  LONGS_EQUAL(4, CountAdmitted(m_limiter, 10, kStart));
  const auto refused = m_limiter.Admit("lab", kStart);
  CHECK(refused.error().m_code == base::ErrorCode::RateLimited);
  CHECK(refused.error().m_run == base::RunState::NotRun);
  LONGS_EQUAL(500000, refused.error().m_retryAfter.count());
  CHECK(m_limiter.Admit("lab", kStart + 500ms).has_value());
}

TEST(AccountLimiter, LimitsConcurrentRequests)
{
  m_limiter.SetLimit("lab", { 100, 100, 3 }, kStart);
  LONGS_EQUAL(3, CountAdmitted(m_limiter, 5, kStart));
  CHECK(m_limiter.Admit("lab", kStart).error().m_code == base::ErrorCode::ConcurrencyLimited);
  m_limiter.Release("lab");
  LONGS_EQUAL(1, CountAdmitted(m_limiter, 5, kStart));
}

TEST(AccountLimiter, ShareScalesRateAndConcurrency)
{
  m_limiter.SetLimit("lab", { 10, 20, 10 }, kStart);
  m_limiter.SetShare("lab", 0.2, kStart);
  LONGS_EQUAL(2, CountAdmitted(m_limiter, 10, kStart));
}

TEST(AccountLimiter, LimitsAccountsIndependently)
{
  m_limiter.SetLimit("lab", { 1, 1, 100 }, kStart);
  m_limiter.SetLimit("bench", { 1, 1, 100 }, kStart);
  LONGS_EQUAL(1, CountAdmitted(m_limiter, 5, kStart));
  CHECK(m_limiter.Admit("bench", kStart).has_value());
}

TEST(AccountLimiter, SharesOfAllGatesSumToAboutTheLimit)
{
  const limits::ShareOptions options;
  const double demandShare[] = { 70, 20, 10, 0 };
  double sum = 0;
  for (const double own : demandShare) {
    sum += limits::ComputeShare(own, 100, 4, options);
  }
  CHECK(sum >= 1.0);
  CHECK(sum <= options.m_overlapFactor + 4 * options.m_minShare);
}

TEST(AccountLimiter, PartitionedGateKeepsTheMinimumShare)
{
  DOUBLES_EQUAL(0.05, limits::ComputeShare(0, 1000, 8, {}), 1e-9);
  DOUBLES_EQUAL(1.0, limits::ComputeShare(5, 5, 1, {}), 1e-9);
}
