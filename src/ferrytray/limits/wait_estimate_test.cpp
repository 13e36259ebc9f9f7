#include "ferrytray/limits/wait_estimate.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint() + 100s;

} // namespace

TEST_GROUP(WaitEstimate)
{
  limits::WaitEstimate m_estimate;
};

TEST(WaitEstimate, GrowsWithWaitingRequestsAndFallsWithGrants)
{
  CHECK_FALSE(m_estimate.Expected(3, kStart).has_value());
  for (int i = 0; i < 10; ++i) {
    m_estimate.OnGranted(kStart + i * 100ms);
  }
  CHECK(*m_estimate.Expected(0, kStart + 900ms) == 100ms);
  CHECK(*m_estimate.Expected(4, kStart + 900ms) == 500ms);
  CHECK(*m_estimate.Expected(0, kStart + 1400ms) == 200ms);
  CHECK_FALSE(m_estimate.Expected(0, kStart + 2s).has_value());
}
