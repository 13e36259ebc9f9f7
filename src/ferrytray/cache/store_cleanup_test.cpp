#include "ferrytray/cache/store_cleanup.hpp"

#include "ferrytray/cache/scope.hpp" // for Scope

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(5'000'000));

} // namespace

TEST_GROUP(StoreCleanup)
{
  cache::Stores m_stores{ { "s:1", cache::StoreContents({ 100'000 }) } };
  cache::StoreCleanup m_cleanup{ { .m_gracePeriod = 6s } };

  void StorePart(const std::string& aScope, const std::string& aId)
  {
    cache::StoreEvents events;
    events.m_epoch = 7;
    events.m_changes = { { { aScope, aId }, 100, true } };
    m_stores.at("s:1").OnEvents(events, false, kStart, kStart);
  }
};

TEST(StoreCleanup, FreesPartsOfUnusedWeightsAfterTheGracePeriod)
{
  StorePart("m/1", "old");
  StorePart("m/2", "new");
  StorePart("other/1", "kept");
  CHECK(m_cleanup.Plan(m_stores, { { "m", 1 } }, kStart).empty());
  CHECK(m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart + 20s).empty());
  CHECK(m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart + 25s).empty());
  const auto plan = m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart + 26s);
  LONGS_EQUAL(1, plan.size());
  LONGS_EQUAL(7, plan[0].m_epoch);
  LONGS_EQUAL(1, plan[0].m_parts.size());
  STRCMP_EQUAL("old", plan[0].m_parts[0].m_id.c_str());
  LONGS_EQUAL(1, m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart + 26s).size());
  m_cleanup.OnFreeRequested("s:1", kStart + 26s);
  CHECK(m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart + 27s).empty());
  LONGS_EQUAL(1, m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart + 29s).size());
}

TEST(StoreCleanup, EngineWithOldWeightsRestartsTheGracePeriod)
{
  StorePart("m/1", "old");
  m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart);
  m_cleanup.Plan(m_stores, { { "m", 1 } }, kStart + 5s);
  CHECK(m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart + 6s).empty());
  CHECK(m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart + 11s).empty());
  CHECK_FALSE(m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart + 12s).empty());
}

TEST(StoreCleanup, KeepsPartsWithAnUnknownScope)
{
  StorePart("somebody's", "x");
  m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart);
  CHECK(m_cleanup.Plan(m_stores, { { "m", 2 } }, kStart + 60s).empty());
}

TEST(StoreCleanup, ScopeTextRoundTrips)
{
  const cache::Scope isolated{ "m", 3, "lab" };
  const auto read = cache::Scope::FromText(isolated.ToText());
  STRCMP_EQUAL("m", read->m_model.c_str());
  LONGS_EQUAL(3, read->m_weights);
  STRCMP_EQUAL("lab", read->m_account.c_str());
  CHECK(cache::Scope::FromText("m/3")->m_account.empty());
  CHECK_FALSE(cache::Scope::FromText("m").has_value());
  CHECK_FALSE(cache::Scope::FromText("m/x").has_value());
}

TEST(StoreCleanup, DefaultGracePeriodCoversFetchesInProgress)
{
  const cache::CleanupOptions cleanup;
  const cache::ContentsOptions contents;
  CHECK(cleanup.m_gracePeriod >= contents.m_maxFetchTime + 1500ms);
}
