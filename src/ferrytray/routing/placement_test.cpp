#include "ferrytray/routing/placement.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using routing::PlacementCandidate;

TEST_GROUP(Placement)
{
  std::vector<PlacementCandidate> m_candidates{ { "a" }, { "b" }, { "c" }, { "d" } };
};

TEST(Placement, PrefersTheHomeUnlessItIsOverloaded)
{
  const auto first = routing::PlaceAtHome(m_candidates, "key", {});
  LONGS_EQUAL(first->m_home, first->m_chosen);
  m_candidates[first->m_home].m_work = 480;
  const auto second = routing::PlaceAtHome(m_candidates, "key", {});
  LONGS_EQUAL(first->m_home, second->m_home);
  CHECK(second->m_chosen != second->m_home);
}

TEST(Placement, UsesAvoidedEndpointsOnlyWhenAllAreAvoided)
{
  for (std::size_t i = 0; i < 3; ++i) {
    m_candidates[i].m_avoided = true;
  }
  for (std::uint64_t random = 0; random < 20; ++random) {
    LONGS_EQUAL(3, *routing::PlaceByTwoChoices(m_candidates, random));
  }
  m_candidates[3].m_avoided = true;
  CHECK(routing::PlaceByTwoChoices(m_candidates, 0).has_value());
  CHECK_FALSE(routing::PlaceByTwoChoices({}, 0).has_value());
}

TEST(Placement, PicksTheLessLoadedOfTwoCandidates)
{
  m_candidates[0].m_work = 5;
  constexpr std::uint64_t kFirstAndSecond = std::uint64_t{ 1 } << 32U;
  LONGS_EQUAL(1, *routing::PlaceByTwoChoices(m_candidates, kFirstAndSecond));
}

TEST(Placement, OverloadedHomeFallsBackToTheLeastLoadedOfItsHomes)
{
  const auto first = routing::PlaceAtHome(m_candidates, "key", {});
  m_candidates[first->m_home].m_work = 960;
  std::size_t least = first->m_home;
  for (std::size_t i = 0; i < m_candidates.size(); ++i) {
    if (i != first->m_home) {
      m_candidates[i].m_work = static_cast<routing::Work>(24 * (10 + i));
      least = least == first->m_home ? i : least;
    }
  }
  const auto next = routing::PlaceAtHome(m_candidates, "key", {});
  LONGS_EQUAL(least, next->m_chosen);
  LONGS_EQUAL(first->m_home, next->m_home);
}

TEST(Placement, FullHomeFallsBackToAHomeWithFreeMemory)
{
  const auto home = routing::PlaceAtHome(m_candidates, "key", {})->m_home;
  for (PlacementCandidate& candidate : m_candidates) {
    candidate.m_work = 500;
    candidate.m_full = true;
  }
  const std::size_t withFreeMemory = (home + 1) % m_candidates.size();
  m_candidates[withFreeMemory].m_work = 490;
  m_candidates[withFreeMemory].m_full = false;
  LONGS_EQUAL(withFreeMemory, routing::PlaceAtHome(m_candidates, "key", {})->m_chosen);
}

// Many hosts decide on the same delayed reports. If each sent the overflow of its homes to the
// least loaded engine of all, that engine would get the overflow of every host at once.
TEST(Placement, OverflowIsNotConcentratedOnASingleIdleEngine)
{
  constexpr std::size_t kEngines = 60;
  constexpr std::size_t kKeys = 600;
  std::vector<PlacementCandidate> engines;
  for (std::size_t i = 0; i < kEngines; ++i) {
    engines.push_back({ "engine" + std::to_string(i), 500, false, true });
  }
  engines[7].m_work = 0;
  engines[7].m_full = false;
  std::size_t sentThere = 0;
  std::size_t refused = 0;
  for (std::size_t key = 0; key < kKeys; ++key) {
    const auto place = routing::PlaceAtHome(engines, "key" + std::to_string(key), {});
    sentThere += place->m_chosen == 7 ? 1 : 0;
    refused += engines[place->m_chosen].m_full ? 1 : 0;
  }
  // With 4 homes among 60 engines, one key in 15 has the idle engine as a home.
  CHECK(sentThere > 0);
  CHECK(sentThere < kKeys / 10);
  LONGS_EQUAL(kKeys, sentThere + refused);
}
