#include "ferrytray/routing/endpoint_tracker.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(1'000'000));

} // namespace

TEST_GROUP(EndpointTracker)
{
  routing::EndpointTracker m_tracker;
};

TEST(EndpointTracker, BacksOffExponentiallyFromAnUnreachableEndpoint)
{
  m_tracker.OnUnreachable("a", kStart);
  CHECK(m_tracker.IsAvoided("a", kStart + 499ms));
  CHECK_FALSE(m_tracker.IsAvoided("a", kStart + 500ms));
  m_tracker.OnUnreachable("a", kStart + 1s);
  CHECK(m_tracker.IsAvoided("a", kStart + 1999ms));
  m_tracker.OnReply("a", kStart + 2s);
  m_tracker.OnUnreachable("a", kStart + 3s);
  CHECK_FALSE(m_tracker.IsAvoided("a", kStart + 3500ms));
}

TEST(EndpointTracker, AnsweredSinceComparesTheLastReplyTime)
{
  CHECK_FALSE(m_tracker.AnsweredSince("a", kStart));
  m_tracker.OnSent("a", 1);
  m_tracker.OnReply("a", kStart + 1s);
  CHECK(m_tracker.AnsweredSince("a", kStart + 1s));
  CHECK_FALSE(m_tracker.AnsweredSince("a", kStart + 1001ms));
  CHECK_FALSE(m_tracker.AnsweredSince("b", kStart));
  m_tracker.Forget("a");
  CHECK_FALSE(m_tracker.AnsweredSince("a", kStart));
}

TEST(EndpointTracker, MaxIdleStaysBelowTheEndpointsIdleTimeout)
{
  CHECK(m_tracker.MaxIdle("a") == 4s);
  m_tracker.OnIdleTimeout("a", 3s);
  CHECK(m_tracker.MaxIdle("a") == 2s);
  m_tracker.OnIdleTimeout("a", 60s);
  CHECK(m_tracker.MaxIdle("a") == 4s);
  m_tracker.OnIdleTimeout("a", 1s);
  CHECK(m_tracker.MaxIdle("a") == 1s);
}

TEST(EndpointTracker, CountsOpenRequests)
{
  m_tracker.OnSent("a", 3);
  m_tracker.OnSent("a", 3);
  m_tracker.OnEnded("a", 3);
  LONGS_EQUAL(1, m_tracker.OpenRequests("a"));
  LONGS_EQUAL(0, m_tracker.OpenRequests("b"));
  LONGS_EQUAL(3, m_tracker.WorkOfOpenRequests("a"));
  LONGS_EQUAL(0, m_tracker.WorkOfOpenRequests("b"));
}
