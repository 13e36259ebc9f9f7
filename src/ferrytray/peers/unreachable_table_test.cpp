#include "ferrytray/peers/unreachable_table.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP(UnreachableTable)
{
  peers::UnreachableTable m_table;
  base::TimePoint m_now = base::MonotonicNow();

  void Report(const char* aHost, std::vector<peers::EndpointTag> aEndpoints)
  {
    m_table.OnReport(aHost, aEndpoints, m_now);
  }
};

// A third of the engines crashes at once; the directory removes them only seconds later.
TEST(UnreachableTable, AnEndpointReportedByTwoHostsIsUnreachable)
{
  Report("h1", { 1, 2 });
  CHECK_FALSE(m_table.IsUnreachable(1, m_now));
  Report("h2", { 2 });
  CHECK_FALSE(m_table.IsUnreachable(1, m_now));
  CHECK(m_table.IsUnreachable(2, m_now));
}

// One host is cut off from all engines.
TEST(UnreachableTable, RepeatedReportsOfOneHostDoNotSuffice)
{
  for (int i = 0; i < 5; ++i) {
    Report("h1", { 1 });
  }
  CHECK_FALSE(m_table.IsUnreachable(1, m_now));
}

TEST(UnreachableTable, ReportsExpireUnlessRenewed)
{
  Report("h1", { 1 });
  Report("h2", { 1 });
  m_now += 700ms;
  CHECK_FALSE(m_table.IsUnreachable(1, m_now));
  Report("h2", { 1 });
  CHECK_FALSE(m_table.IsUnreachable(1, m_now));
}
