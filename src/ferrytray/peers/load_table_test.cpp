#include "ferrytray/peers/load_table.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using peers::EndpointLoads;
using peers::LoadScope;

namespace {

const base::TimePoint kNow = base::TimePoint(base::Duration(1'000'000));

std::uint32_t OpenAt(const EndpointLoads& aLoads, peers::EndpointTag aEndpoint)
{
  for (const peers::EndpointLoad& load : aLoads) {
    if (load.m_endpoint == aEndpoint) {
      return load.m_work;
    }
  }
  return 0;
}

} // namespace

TEST_GROUP(LoadTable)
{
  peers::LoadTable m_table;
};

TEST(LoadTable, SumsTheLatestReportOfEachHost)
{
  m_table.OnReport("a", LoadScope::Own, { { 1, 3 }, { 2, 1 } }, kNow);
  m_table.OnReport("b", LoadScope::Summary, { { 1, 4 } }, kNow);
  LONGS_EQUAL(7, m_table.RemoteLoad(1));
  LONGS_EQUAL(1, m_table.RemoteLoad(2));
  m_table.OnReport("a", LoadScope::Own, { { 1, 1 } }, kNow);
  LONGS_EQUAL(5, m_table.RemoteLoad(1));
  LONGS_EQUAL(0, m_table.RemoteLoad(2));
}

TEST(LoadTable, AllExceptOmitsTheHostsOwnReportAndOwnScopeTotalsOmitSummaries)
{
  m_table.OnReport("a", LoadScope::Own, { { 1, 3 } }, kNow);
  m_table.OnReport("b", LoadScope::Own, { { 1, 2 } }, kNow);
  m_table.OnReport("c", LoadScope::Summary, { { 1, 10 } }, kNow);
  LONGS_EQUAL(12, OpenAt(m_table.AllExcept("a"), 1));
  LONGS_EQUAL(5, OpenAt(m_table.OwnScopeTotals(), 1));
  LONGS_EQUAL(15, OpenAt(m_table.AllExcept("unknown"), 1));
}

TEST(LoadTable, ReportsExpireUnlessRenewed)
{
  m_table.OnReport("a", LoadScope::Own, { { 1, 3 } }, kNow);
  m_table.OnReport("b", LoadScope::Own, { { 1, 2 } }, kNow + 1s);
  m_table.Expire(kNow + 1500ms);
  LONGS_EQUAL(2, m_table.RemoteLoad(1));
  m_table.Expire(kNow + 5s);
  LONGS_EQUAL(0, m_table.RemoteLoad(1));
  CHECK(m_table.AllExcept("").empty());
}

TEST(LoadTable, SumAddsLoadsOfTheSameEndpoint)
{
  const EndpointLoads sum = peers::Sum({ { 1, 3 }, { 2, 1 } }, { { 1, 4 }, { 3, 9 } });
  LONGS_EQUAL(3, sum.size());
  LONGS_EQUAL(7, OpenAt(sum, 1));
  LONGS_EQUAL(9, OpenAt(sum, 3));
}
