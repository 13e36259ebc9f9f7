#include "ferrytray/limits/brittle_services.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace ferrytray::limits;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint() + 100s;
constexpr ServiceKey kService = 7;

} // namespace

TEST_GROUP(BrittleServices)
{
  BrittleServices m_services;
};

TEST(BrittleServices, AnnouncementAppliesUntilItsRetentionEnds)
{
  CHECK_FALSE(m_services.IsBrittle(kService, kStart));
  CHECK(m_services.OnAnswer(kService, true, kStart - 1s, kStart));
  CHECK_FALSE(m_services.OnAnswer(kService, true, kStart, kStart + 1s));
  CHECK(m_services.IsBrittle(kService, kStart + 10s));
  CHECK_FALSE(m_services.IsBrittle(kService, kStart + 11s));
}

TEST(BrittleServices, EndsSoonerAfterAnswerWithoutAnnouncement)
{
  m_services.OnAnswer(kService, true, kStart, kStart);
  m_services.OnAnswer(kService, false, kStart - 1ms, kStart + 1s); // sent before the announcement
  CHECK(m_services.IsBrittle(kService, kStart + 9s));
  m_services.OnAnswer(kService, false, kStart + 1s, kStart + 2s);
  CHECK(m_services.IsBrittle(kService, kStart + 3s));
  CHECK_FALSE(m_services.IsBrittle(kService, kStart + 4s));
  m_services.OnAnswer(kService, true, kStart + 3s, kStart + 3s); // another endpoint still is
  CHECK(m_services.IsBrittle(kService, kStart + 12s));
}

TEST(BrittleServices, OtherHostsLearnFromReports)
{
  m_services.OnAnswer(kService, true, kStart, kStart);
  const BrittleReports reports = m_services.Reports(kStart + 500ms);
  LONGS_EQUAL(1, reports.size());
  LONGS_EQUAL(500, reports.front().m_namedAgeMillis);
  BrittleServices other;
  other.OnReport(reports.front(), kStart + 1s);
  CHECK(other.IsBrittle(kService, kStart + 1s));
  LONGS_EQUAL(0, m_services.Reports(kStart + 3s).size());
}

TEST(BrittleServices, IgnoresImplausibleReports)
{
  m_services.OnReport({ kService, -1 }, kStart);
  m_services.OnReport({ kService, 1'000'000 }, kStart);
  CHECK(m_services.Empty());
}

TEST(BrittleServices, ExpiresWhatHasEnded)
{
  m_services.OnAnswer(kService, true, kStart, kStart);
  m_services.Expire(kStart + 9s);
  CHECK_FALSE(m_services.Empty());
  m_services.Expire(kStart + 10s);
  CHECK(m_services.Empty());
}
