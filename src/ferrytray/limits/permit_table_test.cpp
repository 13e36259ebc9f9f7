#include "ferrytray/limits/permit_table.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint() + 100s;

} // namespace

TEST_GROUP(PermitTable)
{
  limits::PermitTable m_table;
};

TEST(PermitTable, PermitsAreTakenOnceAndExpire)
{
  m_table.OnGranted(1, 2, kStart + 250ms);
  CHECK(m_table.TryTake(1, kStart));
  CHECK_FALSE(m_table.TryTake(2, kStart));
  CHECK_FALSE(m_table.TryTake(1, kStart + 250ms));
  CHECK(m_table.TryTake(1, kStart + 249ms));
  CHECK_FALSE(m_table.TryTake(1, kStart + 249ms));
}

TEST(PermitTable, DenialLastsUntilItsTimeOrTheNextGrant)
{
  m_table.OnDenied(1, kStart + 1s);
  CHECK(m_table.DeniedUntil(1, kStart + 999ms) == kStart + 1s);
  CHECK_FALSE(m_table.DeniedUntil(1, kStart + 1s).has_value());
  m_table.OnGranted(1, 0, kStart + 250ms);
  CHECK_FALSE(m_table.DeniedUntil(1, kStart).has_value());
}

TEST(PermitTable, ExpireDropsOnlyWhatIsOutOfDate)
{
  m_table.OnDenied(1, kStart + 1s);
  m_table.OnGranted(2, 1, kStart + 2s);
  m_table.Expire(kStart + 1s);
  CHECK(m_table.TryTake(2, kStart + 1s));
  m_table.Expire(kStart + 2s);
  CHECK(m_table.Empty());
}
