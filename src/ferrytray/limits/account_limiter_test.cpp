#include "ferrytray/limits/account_limiter.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{ 1000s };

int AdmittedOf(limits::AccountLimiter& aLimiter, int aTries, base::TimePoint aNow)
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

TEST(AccountLimiter, RefusesOverTheRateAndSaysWhenToComeBack)
{
  m_limiter.SetLimit("lab", { 2, 4, 100 }, kStart);
  LONGS_EQUAL(4, AdmittedOf(m_limiter, 10, kStart));
  const auto refused = m_limiter.Admit("lab", kStart);
  CHECK(refused.error().m_code == base::ErrorCode::RateLimited);
  CHECK(refused.error().m_run == base::RunState::NotRun);
  LONGS_EQUAL(500000, refused.error().m_retryAfter.count());
  CHECK(m_limiter.Admit("lab", kStart + 500ms).has_value());
}

TEST(AccountLimiter, CountsOpenRequests)
{
  m_limiter.SetLimit("lab", { 100, 100, 3 }, kStart);
  LONGS_EQUAL(3, AdmittedOf(m_limiter, 5, kStart));
  CHECK(m_limiter.Admit("lab", kStart).error().m_code == base::ErrorCode::ConcurrencyLimited);
  m_limiter.Release("lab");
  LONGS_EQUAL(1, AdmittedOf(m_limiter, 5, kStart));
}

TEST(AccountLimiter, AShareScalesBothLimits)
{
  m_limiter.SetLimit("lab", { 10, 20, 10 }, kStart);
  m_limiter.SetShare("lab", 0.2, kStart);
  LONGS_EQUAL(2, AdmittedOf(m_limiter, 10, kStart));
}

TEST(AccountLimiter, AnotherAccountIsNotTouched)
{
  m_limiter.SetLimit("lab", { 1, 1, 100 }, kStart);
  m_limiter.SetLimit("bench", { 1, 1, 100 }, kStart);
  LONGS_EQUAL(1, AdmittedOf(m_limiter, 5, kStart));
  CHECK(m_limiter.Admit("bench", kStart).has_value());
}

TEST(AccountLimiter, SharesOfAllGatesStayNearTheLimit)
{
  const limits::ShareOptions options;
  const double seen[] = { 70, 20, 10, 0 };
  double sum = 0;
  for (const double own : seen) {
    sum += limits::ShareOf(own, 100, 4, options);
  }
  CHECK(sum >= 1.0);
  CHECK(sum <= options.m_slack + 4 * options.m_floor);
}

TEST(AccountLimiter, ACutOffGateKeepsTheFloor)
{
  DOUBLES_EQUAL(0.05, limits::ShareOf(0, 1000, 8, {}), 1e-9);
  DOUBLES_EQUAL(1.0, limits::ShareOf(5, 5, 1, {}), 1e-9);
}
