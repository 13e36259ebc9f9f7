#include "ferrytray/routing/endpoint_board.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using routing::PlacementCandidate;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(1'000'000));

} // namespace

TEST_GROUP(EndpointBoard)
{
  routing::EndpointBoard m_board;
  std::vector<PlacementCandidate> m_four{ { "a" }, { "b" }, { "c" }, { "d" } };
};

TEST(EndpointBoard, AvoidsAnEndpointLongerEachTimeItIsNotReached)
{
  m_board.OnUnreachable("a", kStart);
  CHECK(m_board.Avoided("a", kStart + 499ms));
  CHECK_FALSE(m_board.Avoided("a", kStart + 500ms));
  m_board.OnUnreachable("a", kStart + 1s);
  CHECK(m_board.Avoided("a", kStart + 1999ms));
  m_board.OnReply("a");
  m_board.OnUnreachable("a", kStart + 3s);
  CHECK_FALSE(m_board.Avoided("a", kStart + 3500ms));
}

TEST(EndpointBoard, AConnectionIsNotUsedWhenItsEndpointIsAboutToCloseIt)
{
  CHECK(m_board.MaxIdle("a") == 4s);
  m_board.OnIdleTimeout("a", 3s);
  CHECK(m_board.MaxIdle("a") == 2s);
  m_board.OnIdleTimeout("a", 60s);
  CHECK(m_board.MaxIdle("a") == 4s);
  m_board.OnIdleTimeout("a", 1s);
  CHECK(m_board.MaxIdle("a") == 1s);
}

TEST(EndpointBoard, CountsOpenRequests)
{
  m_board.OnSent("a", 3);
  m_board.OnSent("a", 3);
  m_board.OnEnded("a", 3);
  LONGS_EQUAL(1, m_board.Open("a"));
  LONGS_EQUAL(0, m_board.Open("b"));
  LONGS_EQUAL(3, m_board.OpenWork("a"));
  LONGS_EQUAL(0, m_board.OpenWork("b"));
}

TEST(EndpointBoard, AKeyStaysAtItsHomeWhileThatOneIsNotBusy)
{
  const auto first = routing::PlaceAtHome(m_four, "key", {});
  LONGS_EQUAL(first->m_home, first->m_chosen);
  m_four[first->m_home].m_work = 20;
  const auto second = routing::PlaceAtHome(m_four, "key", {});
  LONGS_EQUAL(first->m_home, second->m_home);
  CHECK(second->m_chosen != second->m_home);
}

TEST(EndpointBoard, AvoidedEndpointsAreUsedOnlyWhenAllAre)
{
  for (std::size_t i = 0; i < 3; ++i) {
    m_four[i].m_avoided = true;
  }
  for (std::uint64_t random = 0; random < 20; ++random) {
    LONGS_EQUAL(3, *routing::PlaceAnywhere(m_four, random));
  }
  m_four[3].m_avoided = true;
  CHECK(routing::PlaceAnywhere(m_four, 0).has_value());
  CHECK_FALSE(routing::PlaceAnywhere({}, 0).has_value());
}

TEST(EndpointBoard, TheLessBusyOfTwoIsTaken)
{
  m_four[0].m_work = 5;
  constexpr std::uint64_t kFirstAndSecond = std::uint64_t{ 1 } << 32U;
  LONGS_EQUAL(1, *routing::PlaceAnywhere(m_four, kFirstAndSecond));
}

TEST(EndpointBoard, ABusyHomesPromptGoesToTheLeastBusyOfItsNextHomes)
{
  const auto first = routing::PlaceAtHome(m_four, "key", {});
  m_four[first->m_home].m_work = 40;
  std::size_t least = first->m_home;
  for (std::size_t i = 0; i < m_four.size(); ++i) {
    if (i != first->m_home) {
      m_four[i].m_work = static_cast<routing::Work>(10 + i);
      least = least == first->m_home ? i : least;
    }
  }
  const auto next = routing::PlaceAtHome(m_four, "key", {});
  LONGS_EQUAL(least, next->m_chosen);
  LONGS_EQUAL(first->m_home, next->m_home);
}

TEST_GROUP(WorkOf){};

TEST(WorkOf, ALongPromptWeighsSeveralShortOnes)
{
  LONGS_EQUAL(2, routing::WorkOf(0));
  LONGS_EQUAL(2, routing::WorkOf(300));
  LONGS_EQUAL(7, routing::WorkOf(17000));
}
