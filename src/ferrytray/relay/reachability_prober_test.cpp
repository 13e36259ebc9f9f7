#include "ferrytray/relay/reachability_prober.hpp"

#include <set> // for set

#include "tests/support/exchange_fixture.hpp" // for ExchangeFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::WireEnd;

TEST_GROUP_BASE(ReachabilityProber, support::ExchangeFixture)
{
  relay::ReachabilityProber m_prober{ m_core };
  std::vector<routing::Reachability> m_states;

  void setup() override
  {
    ExchangeFixture::setup();
    for (const char* name : { "a", "b", "c", "d" }) {
      fleet::Endpoint endpoint = support::MakeEndpoint(name);
      endpoint.m_zone = *name < 'c' ? "z1" : "z2";
      m_core.m_directory.Upsert(endpoint, base::MonotonicNow());
    }
    m_prober.OnStateChange([this](routing::Reachability aState) { m_states.push_back(aState); });
    m_prober.Start();
  }
  /// Lets the prober run, and ends all probes of that time.
  std::size_t Probe(WireEnd aEnd)
  {
    const std::size_t from = m_client.m_calls.size();
    m_loop.RunFor(300ms);
    for (std::size_t i = from; i < m_client.m_calls.size(); ++i) {
      CHECK(m_client.m_calls[i].m_request.m_connectOnly);
      net::ClientOutcome outcome;
      outcome.m_end = aEnd;
      const auto events = m_client.m_calls[i].m_events;
      events.m_onEnd(outcome);
    }
    return m_client.m_calls.size() - from;
  }
};

TEST(ReachabilityProber, ProbesNothingWithoutSuspicion)
{
  LONGS_EQUAL(0, Probe(WireEnd::Complete));
}

TEST(ReachabilityProber, FailedProbesShowPartitionAndSuccessfulOneItsEnd)
{
  m_core.m_reachability.OnConnectFailed(
    "a", "z1", relay::CountListed(m_core.m_directory), base::MonotonicNow());
  CHECK(Probe(WireEnd::NotSent) > 0);
  CHECK_FALSE(m_core.m_reachability.CanConnect());
  LONGS_EQUAL(1, m_states.size());
  CHECK(m_states.back() == routing::Reachability::Unreachable);
  m_core.m_endpointTracker.OnUnreachable("a", base::MonotonicNow());
  CHECK(Probe(WireEnd::Complete) > 0);
  CHECK(m_states.back() == routing::Reachability::Returning);
  CHECK_FALSE(m_core.m_endpointTracker.IsAvoided("a", base::MonotonicNow()));
  LONGS_EQUAL(0, Probe(WireEnd::Complete));
}

TEST(ReachabilityProber, OneEndpointIsProbedWhileEndpointsAreSilent)
{
  m_core.m_reachability.OnSent(base::MonotonicNow() - 1s);
  LONGS_EQUAL(1, Probe(WireEnd::Complete));
  CHECK(m_states.empty());
}

TEST(ReachabilityProber, PicksEndpointsOfDifferentZones)
{
  for (int i = 0; i < 10; ++i) {
    std::set<std::string> zones;
    for (const fleet::Endpoint* endpoint : relay::PickFromDifferentZones(m_core, 2)) {
      zones.insert(endpoint->m_zone);
    }
    LONGS_EQUAL(2, zones.size());
  }
  LONGS_EQUAL(4, relay::PickFromDifferentZones(m_core, 9).size());
  LONGS_EQUAL(2, relay::CountListed(m_core.m_directory).m_zones);
}
