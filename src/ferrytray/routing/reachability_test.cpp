#include "ferrytray/routing/reachability.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace ferrytray::routing;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint() + 100s;
constexpr ListedEndpoints kListed{ 12, 3 };

} // namespace

TEST_GROUP(Reachability)
{
  ReachabilityMonitor m_monitor;

  void FailConnects(base::TimePoint aNow)
  {
    m_monitor.OnConnectFailed("a", "z1", kListed, aNow);
    m_monitor.OnConnectFailed("b", "z2", kListed, aNow);
    m_monitor.OnConnectFailed("c", "z3", kListed, aNow);
  }
  void CheckState(Reachability aExpected, base::TimePoint aNow)
  {
    STRCMP_EQUAL(ToString(aExpected).c_str(), ToString(m_monitor.State(aNow)).c_str());
  }
};

TEST(Reachability, OneEndpointThatFailsIsNoPartition)
{
  for (int i = 0; i < 10; ++i) {
    m_monitor.OnConnectFailed("a", "z1", kListed, kStart);
  }
  CheckState(Reachability::Reachable, kStart);
  CHECK(m_monitor.IsSuspect(kStart));
}

TEST(Reachability, OneZoneThatFailsIsNoPartition)
{
  for (const char* endpoint : { "a", "b", "c", "d" }) {
    m_monitor.OnConnectFailed(endpoint, "z1", kListed, kStart);
  }
  CheckState(Reachability::Reachable, kStart);
}

TEST(Reachability, UnreachableAfterFailuresInSeveralZones)
{
  FailConnects(kStart);
  CheckState(Reachability::Unreachable, kStart);
  DOUBLES_EQUAL(0, m_monitor.DirectFraction(kStart), 0);
}

TEST(Reachability, NewConnectionBetweenFailuresIsContraryEvidence)
{
  m_monitor.OnConnectFailed("a", "z1", kListed, kStart);
  m_monitor.OnConnectFailed("b", "z2", kListed, kStart);
  m_monitor.OnConnected(kStart);
  m_monitor.OnConnectFailed("c", "z3", kListed, kStart);
  CheckState(Reachability::Reachable, kStart);
}

TEST(Reachability, OldFailuresAreNoEvidence)
{
  m_monitor.OnConnectFailed("a", "z1", kListed, kStart);
  m_monitor.OnConnectFailed("b", "z2", kListed, kStart);
  m_monitor.OnConnectFailed("c", "z3", kListed, kStart + 6s);
  CheckState(Reachability::Reachable, kStart + 6s);
}

TEST(Reachability, FewListedEndpointsSuffice)
{
  m_monitor.OnConnectFailed("a", "z1", { 1, 1 }, kStart);
  CheckState(Reachability::Unreachable, kStart);
}

TEST(Reachability, WithoutListedEndpointsNothingIsKnown)
{
  m_monitor.OnConnectFailed("a", "z1", {}, kStart);
  CheckState(Reachability::Reachable, kStart);
}

TEST(Reachability, AnswersOnOpenConnectionsDoNotProveNewOnes)
{
  FailConnects(kStart);
  m_monitor.OnAnswered(kStart + 10ms);
  CheckState(Reachability::NoNewConnections, kStart + 20ms);
  CheckState(Reachability::Unreachable, kStart + 500ms);
}

TEST(Reachability, LoadReturnsGradually)
{
  FailConnects(kStart);
  m_monitor.OnConnected(kStart + 1s);
  CheckState(Reachability::Returning, kStart + 1s);
  DOUBLES_EQUAL(0.1, m_monitor.DirectFraction(kStart + 1s), 0.01);
  DOUBLES_EQUAL(0.5, m_monitor.DirectFraction(kStart + 1750ms), 0.01);
  CheckState(Reachability::Reachable, kStart + 2500ms);
  DOUBLES_EQUAL(1, m_monitor.DirectFraction(kStart + 2500ms), 0);
}

TEST(Reachability, SilenceWhileRequestsAreOpenIsSuspect)
{
  m_monitor.OnSent(kStart);
  m_monitor.OnAnswered(kStart + 100ms);
  CHECK_FALSE(m_monitor.IsSuspect(kStart + 10s));
  m_monitor.OnSent(kStart + 10s);
  CHECK_FALSE(m_monitor.IsSuspect(kStart + 10s + 300ms));
  CHECK(m_monitor.IsSuspect(kStart + 10s + 400ms));
  CheckState(Reachability::Reachable, kStart + 10s + 400ms);
  m_monitor.OnConnected(kStart + 10s + 410ms);
  CHECK_FALSE(m_monitor.IsSuspect(kStart + 10s + 500ms));
}
