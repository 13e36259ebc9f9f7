#include "ferrytray/peers/unreachable_board.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP(UnreachableBoard)
{
  peers::UnreachableBoard m_board;
  base::TimePoint m_now = base::MonotonicNow();

  void Tell(const char* aHost, std::vector<peers::EndpointTag> aEndpoints)
  {
    m_board.OnReport(aHost, aEndpoints, m_now);
  }
};

// Load: a third of the engines crashes at once; the directory tells seconds later.
TEST(UnreachableBoard, WhatTwoHostsCannotReachIsUnreachable)
{
  Tell("h1", { 1, 2 });
  CHECK_FALSE(m_board.IsUnreachable(1, m_now));
  Tell("h2", { 2 });
  CHECK_FALSE(m_board.IsUnreachable(1, m_now));
  CHECK(m_board.IsUnreachable(2, m_now));
}

// Load: one host is cut off from all engines.
TEST(UnreachableBoard, OneHostsWordIsNotEnoughHoweverOftenItIsTold)
{
  for (int i = 0; i < 5; ++i) {
    Tell("h1", { 1 });
  }
  CHECK_FALSE(m_board.IsUnreachable(1, m_now));
}

TEST(UnreachableBoard, WhatIsNotToldAgainIsForgotten)
{
  Tell("h1", { 1 });
  Tell("h2", { 1 });
  m_now += 700ms;
  CHECK_FALSE(m_board.IsUnreachable(1, m_now));
  Tell("h2", { 1 });
  CHECK_FALSE(m_board.IsUnreachable(1, m_now));
}
