#include "ferrytray/routing/cold_starts.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using routing::ColdStarts;
using routing::ColdTrafficSource;

namespace {

const base::TimePoint kNow = base::TimePoint(base::Duration(1'000'000));
constexpr double kColdRate = 14; // requests a second

} // namespace

TEST_GROUP(ColdStarts)
{
  ColdStarts m_cold;
};

TEST(ColdStarts, LatestReportedColdTimeApplies)
{
  m_cold.OnColdTimeReported("e", 0s, true, kNow);
  CHECK_FALSE(m_cold.IsCold("e", kNow));
  m_cold.OnColdTimeReported("e", 3s, true, kNow);
  CHECK(m_cold.IsCold("e", kNow + 2900ms));
  CHECK_FALSE(m_cold.IsCold("e", kNow + 3s));
  m_cold.OnColdTimeReported("e", 0s, true, kNow + 1s);
  CHECK_FALSE(m_cold.IsCold("e", kNow + 1s));
  m_cold.OnColdTimeReported("e", 3s, true, kNow + 2s); // cold again without a restart
  CHECK(m_cold.IsCold("e", kNow + 4s));
}

TEST(ColdStarts, OlderWarmReportDoesNotClearASuspectedRestart)
{
  m_cold.OnRestartSuspected("e", 3s, kNow);
  m_cold.OnColdTimeReported("e", 0s, true, kNow + 1s);
  CHECK(m_cold.IsCold("e", kNow + 5s));
  CHECK_FALSE(m_cold.IsCold("e", kNow + 5500ms));
}

TEST(ColdStarts, LimitsTheRequestRateOfEachSource)
{
  m_cold.OnColdTimeReported("e", 10s, true, kNow);
  std::size_t own = 0;
  std::size_t assigned = 0;
  for (auto at = kNow; at < kNow + 1s; at += 5ms) {
    if (m_cold.MaySend("e", ColdTrafficSource::Own, at)) {
      ++own;
      m_cold.OnSent("e", ColdTrafficSource::Own, kColdRate, at);
    }
    if (m_cold.MaySend("e", ColdTrafficSource::Assigned, at)) {
      ++assigned;
      m_cold.OnSent("e", ColdTrafficSource::Assigned, kColdRate, at);
    }
  }
  // 14 * 0.3 / 2 = 2.1 own and 14 * 0.2 = 2.8 assigned requests a second.
  LONGS_EQUAL(3, own);
  LONGS_EQUAL(3, assigned);
}

TEST(ColdStarts, ZeroRateAllowsOneRequestOnly)
{
  m_cold.OnColdTimeReported("e", 10s, true, kNow);
  m_cold.OnSent("e", ColdTrafficSource::Own, 0, kNow);
  CHECK_FALSE(m_cold.MaySend("e", ColdTrafficSource::Own, kNow + 9s));
}

TEST(ColdStarts, ForgottenEngineIsNotCold)
{
  m_cold.OnColdTimeReported("e", 10s, true, kNow);
  m_cold.Forget("e");
  CHECK_FALSE(m_cold.IsCold("e", kNow));
}

TEST(ColdStarts, EngineThatTurnsColdGetsNoRequestsDuringTheHoldTime)
{
  m_cold.OnColdTimeReported("e", 3s, false, kNow);
  CHECK_FALSE(m_cold.MaySend("e", ColdTrafficSource::Own, kNow + 900ms));
  CHECK_FALSE(m_cold.MaySend("e", ColdTrafficSource::Assigned, kNow + 900ms));
  // A further report does not restart the hold time.
  m_cold.OnColdTimeReported("e", 2s, false, kNow + 900ms);
  CHECK(m_cold.MaySend("e", ColdTrafficSource::Own, kNow + 1s));
  m_cold.OnRestartSuspected("f", 3s, kNow);
  CHECK_FALSE(m_cold.MaySend("f", ColdTrafficSource::Own, kNow + 900ms));
}

TEST(ColdStarts, NewColdEngineGetsRequestsImmediately)
{
  m_cold.OnColdTimeReported("e", 3s, true, kNow);
  CHECK(m_cold.MaySend("e", ColdTrafficSource::Own, kNow));
}
