#include "ferrytray/limits/fair_queue.hpp"

#include <vector> // for vector

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

TEST_GROUP(FairQueue){};

TEST(FairQueue, LargeAccountDoesNotStarveSmallAccount)
{
  limits::FairQueue queue(1000);
  for (std::uint64_t id = 0; id < 100; ++id) {
    queue.Push("large", 1, { id, 1.0 });
  }
  queue.Push("small", 1, { 1000, 1.0 });
  queue.Pop();
  const auto second = queue.Pop();
  const auto third = queue.Pop();
  CHECK(second->m_id == 1000 || third->m_id == 1000);
}

TEST(FairQueue, CheapRequestsOvertakeExpensiveOnes)
{
  limits::FairQueue queue(1000);
  for (std::uint64_t id = 0; id < 5; ++id) {
    queue.Push("datasheets", 1, { id, 10.0 });
  }
  for (std::uint64_t id = 100; id < 110; ++id) {
    queue.Push("lookups", 1, { id, 1.0 });
  }
  int lookupsBeforeSecondDatasheet = 0;
  for (auto request = queue.Pop(); request && request->m_id != 1; request = queue.Pop()) {
    lookupsBeforeSecondDatasheet += request->m_id >= 100 ? 1 : 0;
  }
  LONGS_EQUAL(10, lookupsBeforeSecondDatasheet);
}

TEST(FairQueue, RefusesWhenFull)
{
  limits::FairQueue queue(1);
  CHECK(queue.Push("a", 1, { 1, 1 }));
  CHECK_FALSE(queue.Push("a", 1, { 2, 1 }));
  CHECK(queue.Remove(1));
  CHECK_FALSE(queue.Remove(1));
  CHECK(queue.Push("a", 1, { 2, 1 }));
}

TEST(FairQueue, ServesWeightedSharesWithinOneRequest)
{
  const bool holds = rc::check("weighted shares", [] {
    const double weight = *rc::gen::inRange(1, 8);
    limits::FairQueue queue(10000);
    for (std::uint64_t id = 0; id < 800; ++id) {
      queue.Push("light", 1, { id, 1.0 });
      queue.Push("heavy", weight, { id + 1000, 1.0 });
    }
    double light = 0;
    double heavy = 0;
    for (int i = 0; i < 400; ++i) {
      const auto request = queue.Pop();
      (request->m_id >= 1000 ? heavy : light) += 1;
    }
    RC_ASSERT(heavy <= light * weight + weight);
    RC_ASSERT(heavy + weight >= (light - 1) * weight);
  });
  CHECK(holds);
}
