#include "ferrytray/cache/part_planner.hpp"

#include <array> // for array

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(5'000'000));
const base::TimePoint kSettled = kStart + 5s; // past the save delay of stores first read at kStart

void ReportEvents(cache::Stores& aStores,
                  base::TimePoint aNow,
                  std::vector<cache::StoreChange> aChanges = {})
{
  for (auto& [address, contents] : aStores) {
    cache::StoreEvents events;
    events.m_epoch = 1;
    events.m_clockMillis = 0;
    contents.OnEvents(events, false, aNow, aNow);
  }
  if (!aChanges.empty()) {
    cache::StoreEvents events;
    events.m_epoch = 1;
    events.m_clockMillis = 0;
    events.m_changes = std::move(aChanges);
    aStores.begin()->second.OnEvents(events, false, aNow, aNow);
  }
}

} // namespace

TEST_GROUP(PartPlanner)
{
  cache::Stores m_stores{ { "s1:1", cache::StoreContents({ 100'000 }) },
                          { "s2:1", cache::StoreContents({ 100'000 }) } };
  cache::PartPlanner m_planner;
  std::array<cache::PlannedPart, 3> m_parts{
    { { "small", 50 }, { "large", 12'000 }, { "own", 4000 } }
  };

  cache::PartPlan Plan(const std::string& aHome = "")
  {
    return m_planner.Plan({ m_parts, "m.1", aHome }, m_stores, kSettled);
  }
};

TEST(PartPlanner, SavesSharedPartsButNotTheRequestsOwnPart)
{
  ReportEvents(m_stores, kStart);
  ReportEvents(m_stores, kSettled);
  const cache::PartPlan plan = Plan();
  CHECK_FALSE(plan.m_transfers[0].m_saveTo.empty());
  CHECK_FALSE(plan.m_transfers[1].m_saveTo.empty());
  CHECK(plan.m_transfers[2].m_saveTo.empty());
  CHECK(Plan().Empty()); // the saves are pending
}

TEST(PartPlanner, FetchesFromAnyStoreThatHoldsThePart)
{
  ReportEvents(m_stores, kStart);
  ReportEvents(m_stores, kSettled, { { { "m.1", "large" }, 12'000, true } });
  const cache::PartPlan plan = Plan("w:1");
  STRCMP_EQUAL("s1:1", plan.m_transfers[1].m_fetchFrom.c_str());
  CHECK(plan.m_transfers[1].m_saveTo.empty());
  CHECK(plan.m_fetchDeadline.has_value());
}

TEST(PartPlanner, FetchesFromAnEndpointWhenNoStoreHoldsThePart)
{
  ReportEvents(m_stores, kStart);
  ReportEvents(m_stores, kSettled);
  STRCMP_EQUAL("w:1", Plan("w:1").m_transfers[1].m_fetchFrom.c_str());
}

TEST(PartPlanner, PlansNoTransfersWithoutStoreEvents)
{
  CHECK(Plan().Empty());
}

// Prompts start with a short shared part, followed by a long one, and engines evict both within
// seconds. An engine cannot use the fetched long part if the short one before it is missing.
TEST(PartPlanner, FetchesShortPartsBeforeLongOnes)
{
  ReportEvents(m_stores, kStart);
  ReportEvents(
    m_stores, kSettled, { { { "m.1", "small" }, 50, true }, { { "m.1", "large" }, 12'000, true } });
  const cache::PartPlan plan = Plan("w:1");
  STRCMP_EQUAL("s1:1", plan.m_transfers[0].m_fetchFrom.c_str());
  STRCMP_EQUAL("s1:1", plan.m_transfers[1].m_fetchFrom.c_str());
}

// For a few hundred tokens, prefill takes less time than the waits of two transfers.
TEST(PartPlanner, PlansNoTransfersForFewSharedTokens)
{
  ReportEvents(m_stores, kStart);
  ReportEvents(m_stores, kSettled, { { { "m.1", "a" }, 55, true }, { { "m.1", "b" }, 246, true } });
  const std::array<cache::PlannedPart, 3> parts{ { { "a", 55 }, { "b", 246 }, { "own", 4000 } } };
  CHECK(m_planner.Plan({ parts, "m.1", "w:1" }, m_stores, kSettled).Empty());
}

// On a slow or busy link, a fetch may exceed the time that the request allows; its prompt is then
// prefilled instead.
TEST(PartPlanner, FetchDeadlineFollowsTheRequestsTimeLimit)
{
  ReportEvents(m_stores, kStart);
  ReportEvents(m_stores, kSettled, { { { "m.1", "large" }, 12'000, true } });
  const auto deadline = [&](base::Duration aTimeout) {
    return *m_planner.Plan({ m_parts, "m.1", "", aTimeout }, m_stores, kSettled).m_fetchDeadline;
  };
  LONGS_EQUAL(100, deadline(700ms) - deadline(600ms));
  LONGS_EQUAL(deadline(2s), deadline(10s));
}

// Two tiers of stores, of which the fast one is much smaller. Distributed by capacity, the slow
// links would carry nine of ten fetches; by link speed, both are equally busy until the fast stores
// are full.
TEST(PartPlanner, DistributesSavesByLinkSpeedUntilStoresAreFull)
{
  cache::Stores tiers{ { "fast:1", cache::StoreContents({ 70'000, 71'000 }) },
                       { "slow:1", cache::StoreContents({ 700'000, 28'000 }) } };
  ReportEvents(tiers, kStart);
  ReportEvents(tiers, kSettled);
  std::map<std::string, int> saved;
  constexpr int kPrompts = 300;
  constexpr std::uint32_t kTokens = 1500;
  for (int i = 0; i < kPrompts; ++i) {
    const std::array<cache::PlannedPart, 2> parts{ { { "part" + std::to_string(i), kTokens },
                                                     { "own", 300 } } };
    ++saved[m_planner.Plan({ parts, "m.1", "" }, tiers, kSettled).m_transfers[0].m_saveTo];
    if (i == 39) {
      CHECK(saved["fast:1"] > saved["slow:1"]);
    }
  }
  LONGS_EQUAL(70'000 / kTokens, saved["fast:1"]);
  LONGS_EQUAL(kPrompts - 70'000 / kTokens, saved["slow:1"]);
}
