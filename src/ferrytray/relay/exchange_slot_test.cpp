// Endpoints that announce that they fail if they have to reject too many requests.
#include "ferrytray/relay/slot_client.hpp"
#include "tests/support/peer_host_fixture.hpp" // for PeerHostFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::WireEnd;

/// A host without others, which issues the slots itself. Both endpoints have one slot.
TEST_GROUP_BASE(ExchangeSlot, support::PeerHostFixture)
{
  std::optional<relay::SlotClient> m_slots;

  void setup() override
  {
    PeerHostFixture::setup();
    StartPeerExchange(9);
    AwaitHosts();
    m_slots.emplace(m_core, *m_peerExchange);
    m_core.m_slotClient = &*m_slots;
  }
  /// An answer announces that the service is brittle.
  void MakeBrittle()
  {
    SendRequest("/again/x");
    m_client.Head(200, { { "brittle", "3" } });
    m_client.End(WireEnd::Complete);
    m_client.m_calls.clear();
  }
  void EndCall(std::size_t aCall, int aStatus, const net::Headers& aHeaders)
  {
    const auto events = m_client.m_calls[aCall].m_events;
    events.m_onHead(aStatus, aHeaders);
    net::ClientOutcome outcome;
    outcome.m_end = WireEnd::Complete;
    outcome.m_status = aStatus;
    events.m_onEnd(outcome);
  }
};

// Endpoints got requests without a free slot, rejected them, and failed one after the other.
TEST(ExchangeSlot, RequestsBeyondTheSlotsWaitAtTheHost)
{
  MakeBrittle();
  SendRequest("/once/1");
  SendRequest("/once/2");
  const auto waiting = SendRequest("/once/3");
  m_loop.RunFor(100ms);
  LONGS_EQUAL(2, m_client.m_calls.size());
  CHECK(m_client.m_calls[0].m_request.m_url != m_client.m_calls[1].m_request.m_url);
  CHECK_FALSE(waiting->m_finished);
  LONGS_EQUAL(1, m_core.m_waitingForSlot["s"]);
  EndCall(0, 200, { { "brittle", "3" } });
  m_loop.RunFor(300ms);
  LONGS_EQUAL(3, m_client.m_calls.size());
  LONGS_EQUAL(0, m_core.m_waitingForSlot["s"]);
}

TEST(ExchangeSlot, RequestsAreSentAtOnceWithoutAnnouncement)
{
  for (int i = 0; i < 6; ++i) {
    SendRequest("/once/x");
  }
  LONGS_EQUAL(6, m_client.m_calls.size());
}

TEST(ExchangeSlot, RefusesWhenTheTimeToWaitIsOver)
{
  MakeBrittle();
  SendRequest("/once/1");
  SendRequest("/once/2");
  const auto waiting = SendRequest("/once/3");
  m_loop.RunFor(2600ms); // half of the time until the deadline
  LONGS_EQUAL(503, waiting->m_status);
  STRCMP_EQUAL("not_run", waiting->Header("run").c_str());
  STRCMP_EQUAL("yes", waiting->Header("come-back").c_str());
  LONGS_EQUAL(2, m_client.m_calls.size());
  LONGS_EQUAL(0, m_core.m_waitingForSlot["s"]);
}

TEST(ExchangeSlot, RefusesAtOnceBehindTooManyWaitingRequests)
{
  MakeBrittle();
  SendRequest("/once/1"); // two grants in the last second
  SendRequest("/once/2");
  std::size_t refused = 0;
  for (int i = 0; i < 20; ++i) {
    refused += SendRequest("/once/3")->m_status == 503 ? 1 : 0;
  }
  CHECK(refused >= 10);
  CHECK(m_core.m_waitingForSlot["s"] >= 2);
}

TEST(ExchangeSlot, CallerOfWaitingRequestMayDisconnect)
{
  MakeBrittle();
  SendRequest("/once/1");
  SendRequest("/once/2");
  const auto waiting = SendRequest("/once/3");
  LONGS_EQUAL(1, m_core.m_waitingForSlot["s"]);
  waiting->m_onClosed();
  LONGS_EQUAL(0, m_core.m_waitingForSlot["s"]);
  EndCall(0, 200, { { "brittle", "3" } });
  m_loop.RunFor(100ms);
  LONGS_EQUAL(2, m_client.m_calls.size());
}

TEST(ExchangeSlot, AnnouncementAppliesToAllEndpointsOfTheService)
{
  MakeBrittle();
  CHECK(relay::NeedsSlot(m_core, "s", base::MonotonicNow()));
  CHECK_FALSE(relay::NeedsSlot(m_core, "other", base::MonotonicNow()));
}
