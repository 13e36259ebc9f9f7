#include "ferrytray/peers/unreachable_table.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP(UnreachableTable)
{
  peers::UnreachableTable m_table;
  base::TimePoint m_now = base::MonotonicNow();

  void Tell(const char* aHost, std::vector<peers::EndpointTag> aEndpoints)
  {
    m_table.OnReport(aHost, aEndpoints, m_now);
  }
};

// A third of the engines crashes at once; the directory removes them only seconds later.
TEST(UnreachableTable, AnEndpointReportedByTwoHostsIsUnreachable)
{
  Tell("h1", { 1, 2 });
  CHECK_FALSE(m_table.IsUnreachable(1, m_now));
  Tell("h2", { 2 });
  CHECK_FALSE(m_table.IsUnreachable(1, m_now));
  CHECK(m_table.IsUnreachable(2, m_now));
}

// One host is cut off from all engines.
TEST(UnreachableTable, RepeatedReportsOfOneHostDoNotSuffice)
{
  for (int i = 0; i < 5; ++i) {
    Tell("h1", { 1 });
  }
  CHECK_FALSE(m_table.IsUnreachable(1, m_now));
}

TEST(UnreachableTable, ReportsExpireUnlessRenewed)
{
  Tell("h1", { 1 });
  Tell("h2", { 1 });
  m_now += 700ms;
  CHECK_FALSE(m_table.IsUnreachable(1, m_now));
  Tell("h2", { 1 });
  CHECK_FALSE(m_table.IsUnreachable(1, m_now));
}
