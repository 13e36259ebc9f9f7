#include "ferrytray/routing/endpoint_tracker.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(1'000'000));

} // namespace

TEST_GROUP(EndpointTracker)
{
  routing::EndpointTracker m_board;
};

TEST(EndpointTracker, BacksOffExponentiallyFromAnUnreachableEndpoint)
{
  m_board.OnUnreachable("a", kStart);
  CHECK(m_board.IsAvoided("a", kStart + 499ms));
  CHECK_FALSE(m_board.IsAvoided("a", kStart + 500ms));
  m_board.OnUnreachable("a", kStart + 1s);
  CHECK(m_board.IsAvoided("a", kStart + 1999ms));
  m_board.OnReply("a", kStart + 2s);
  m_board.OnUnreachable("a", kStart + 3s);
  CHECK_FALSE(m_board.IsAvoided("a", kStart + 3500ms));
}

TEST(EndpointTracker, AnsweredSinceComparesTheLastReplyTime)
{
  CHECK_FALSE(m_board.AnsweredSince("a", kStart));
  m_board.OnSent("a", 1);
  m_board.OnReply("a", kStart + 1s);
  CHECK(m_board.AnsweredSince("a", kStart + 1s));
  CHECK_FALSE(m_board.AnsweredSince("a", kStart + 1001ms));
  CHECK_FALSE(m_board.AnsweredSince("b", kStart));
  m_board.Forget("a");
  CHECK_FALSE(m_board.AnsweredSince("a", kStart));
}

TEST(EndpointTracker, MaxIdleStaysBelowTheEndpointsIdleTimeout)
{
  CHECK(m_board.MaxIdle("a") == 4s);
  m_board.OnIdleTimeout("a", 3s);
  CHECK(m_board.MaxIdle("a") == 2s);
  m_board.OnIdleTimeout("a", 60s);
  CHECK(m_board.MaxIdle("a") == 4s);
  m_board.OnIdleTimeout("a", 1s);
  CHECK(m_board.MaxIdle("a") == 1s);
}

TEST(EndpointTracker, CountsOpenRequests)
{
  m_board.OnSent("a", 3);
  m_board.OnSent("a", 3);
  m_board.OnEnded("a", 3);
  LONGS_EQUAL(1, m_board.OpenRequests("a"));
  LONGS_EQUAL(0, m_board.OpenRequests("b"));
  LONGS_EQUAL(3, m_board.WorkOfOpenRequests("a"));
  LONGS_EQUAL(0, m_board.WorkOfOpenRequests("b"));
}
