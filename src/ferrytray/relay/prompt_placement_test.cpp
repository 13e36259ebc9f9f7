#include "ferrytray/relay/prompt_placement.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using relay::PromptPlacement;

TEST_GROUP(PromptPlacement)
{
  PromptPlacement m_placement;
  fleet::ClientAccount m_shared{ "lab", {}, false, {} };
  fleet::ClientAccount m_isolated{ "clerks", {}, true, {} };

  static relay::Prompt PromptOf(std::vector<relay::PromptPart> aParts)
  {
    return { "m", 0, 0, std::move(aParts) };
  }
};

TEST(PromptPlacement, SessionRequestsShareHome)
{
  const auto first = PromptOf({ { "system", 60 }, { "session", 250 }, { "own1", 80 } });
  const auto second = PromptOf({ { "system", 60 }, { "session", 250 }, { "own2", 90 } });
  const auto other = PromptOf({ { "system", 60 }, { "session2", 250 }, { "own1", 80 } });
  CHECK(m_placement.HomeKey(first, &m_shared) == m_placement.HomeKey(second, &m_shared));
  CHECK(m_placement.HomeKey(first, &m_shared) != m_placement.HomeKey(other, &m_shared));
}

TEST(PromptPlacement, FirstLongPartDeterminesHome)
{
  const auto first = PromptOf({ { "bundle", 12'000 }, { "a", 300 }, { "own1", 4000 } });
  const auto second = PromptOf({ { "bundle", 12'000 }, { "b", 300 }, { "own2", 80 } });
  CHECK(m_placement.HomeKey(first, &m_shared) == m_placement.HomeKey(second, &m_shared));
}

TEST(PromptPlacement, CacheScopeSeparatesWeightsAndIsolatedAccounts)
{
  const auto scope = [](fleet::WeightVersion aVersion, const fleet::ClientAccount* aAccount) {
    return PromptPlacement::CacheScope("m", aVersion, aAccount);
  };
  CHECK(scope(1, &m_shared) == scope(1, nullptr));
  CHECK(scope(1, &m_shared) != scope(2, &m_shared));
  CHECK(scope(1, &m_shared) != scope(1, &m_isolated));
}

TEST(PromptPlacement, PromptWithoutSharedPartsHasHome)
{
  CHECK_FALSE(m_placement.HomeKey(PromptOf({}), nullptr).empty());
  CHECK_FALSE(m_placement.HomeKey(PromptOf({ { "p", 1 } }), nullptr).empty());
}
