#include "ferrytray/telemetry/log_rate_limiter.hpp"

#include <string> // for to_string

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint() + 100s;

} // namespace

TEST_GROUP(LogRateLimiter)
{
  telemetry::LogRateLimiter m_limiter;
};

TEST(LogRateLimiter, AdmitsOnePerIntervalAndCountsSuppressed)
{
  LONGS_EQUAL(0, m_limiter.Admit("bad", kStart).value_or(99));
  for (int i = 0; i < 5000; ++i) {
    CHECK_FALSE(m_limiter.Admit("bad", kStart + 9999ms).has_value());
  }
  LONGS_EQUAL(5000, m_limiter.Admit("bad", kStart + 10s).value_or(99));
  CHECK_FALSE(m_limiter.Admit("bad", kStart + 11s).has_value());
  LONGS_EQUAL(1, m_limiter.Admit("bad", kStart + 20s).value_or(99));
}

TEST(LogRateLimiter, LimitsCausesSeparately)
{
  LONGS_EQUAL(0, m_limiter.Admit("one", kStart).value_or(99));
  LONGS_EQUAL(0, m_limiter.Admit("other", kStart).value_or(99));
}

TEST(LogRateLimiter, LimitsNumberOfCauses)
{
  std::size_t lines = 0;
  for (int i = 0; i < 10'000; ++i) {
    lines += m_limiter.Admit("cause " + std::to_string(i), kStart + i * 1ms).has_value() ? 1 : 0;
  }
  LONGS_EQUAL(64, lines);
  LONGS_EQUAL(0, m_limiter.Admit("later", kStart + 30s).value_or(99));
}
