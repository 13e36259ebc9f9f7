#include "ferrytray/limits/slot_issuer.hpp"

#include <algorithm> // for max
#include <deque>     // for deque
#include <map>       // for map
#include <queue>     // for priority_queue
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace ferrytray::limits;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint() + 100s;
constexpr EndpointKey kEndpoint = 7;
constexpr std::uint32_t kSlots = 8;

} // namespace

TEST_GROUP(SlotIssuer)
{
  SlotIssuer m_issuer;
  std::map<std::string, std::uint64_t> m_sequences;

  SlotDecision Ask(const std::string& aHost,
                   std::uint32_t aOpen,
                   std::uint32_t aWanted,
                   base::TimePoint aNow,
                   std::uint32_t aRejections = 0)
  {
    return m_issuer.Request(
      { kEndpoint, aHost, ++m_sequences[aHost], kSlots, aOpen, aWanted, aRejections }, aNow);
  }
  /// Ends the time in which the issuer learns of open requests.
  void Learn()
  {
    Ask("h0", 0, 0, kStart - 1s);
  }
};

TEST(SlotIssuer, GrantsNoMoreThanTheSlotsOverAllHosts)
{
  Learn();
  LONGS_EQUAL(5, Ask("h1", 0, 5, kStart).m_granted);
  LONGS_EQUAL(3, Ask("h2", 0, 5, kStart).m_granted);
  const SlotDecision denied = Ask("h3", 0, 1, kStart);
  LONGS_EQUAL(0, denied.m_granted);
  CHECK(denied.m_retryAfter > 0ms);
  LONGS_EQUAL(kSlots, m_issuer.Open(kEndpoint, kStart));
}

TEST(SlotIssuer, ReleasedSlotIsGrantedAgain)
{
  Learn();
  Ask("h1", 0, kSlots, kStart);
  Ask("h1", kSlots - 2, 0, kStart + 10ms);
  LONGS_EQUAL(2, Ask("h2", 0, 3, kStart + 10ms).m_granted);
}

TEST(SlotIssuer, OpenRequestsWithoutSlotCount)
{
  Learn();
  LONGS_EQUAL(0, Ask("h1", kSlots + 3, 1, kStart).m_granted);
}

TEST(SlotIssuer, ReportOfHostThatIsGoneExpires)
{
  Learn();
  Ask("h1", 0, kSlots, kStart);
  LONGS_EQUAL(0, Ask("h2", 0, 1, kStart + 2s).m_granted);
  LONGS_EQUAL(1, Ask("h2", 0, 1, kStart + 2500ms).m_granted);
}

TEST(SlotIssuer, OvertakenReportIsIgnored)
{
  Learn();
  m_issuer.Request({ kEndpoint, "h1", 2, kSlots, kSlots, 0, 0 }, kStart);
  m_issuer.Request({ kEndpoint, "h1", 1, kSlots, 0, 0, 0 }, kStart + 1ms);
  LONGS_EQUAL(kSlots, m_issuer.Open(kEndpoint, kStart + 1ms));
}

TEST(SlotIssuer, NewIssuerGrantsHalfOfTheSlotsUntilHostsHaveReported)
{
  LONGS_EQUAL(kSlots / 2, Ask("h1", 0, kSlots, kStart).m_granted);
  LONGS_EQUAL(kSlots / 2, Ask("h1", kSlots / 2, kSlots, kStart + 600ms).m_granted);
}

TEST(SlotIssuer, RejectionHoldsOneSlotBack)
{
  Learn();
  LONGS_EQUAL(kSlots - 1, Ask("h1", 0, kSlots, kStart, 3).m_granted);
  LONGS_EQUAL(1, Ask("h1", kSlots - 1, 1, kStart + 4s).m_granted);
}

TEST(SlotIssuer, OneSlotIsGrantedWhateverIsReported)
{
  for (int i = 0; i < 20; ++i) {
    Ask("h1", 0, 0, kStart, 1);
  }
  LONGS_EQUAL(1, Ask("h1", 0, 3, kStart + 1s).m_granted);
  LONGS_EQUAL(1, m_issuer.Request({ 9, "h1", 1, 0, 0, 2, 0 }, kStart).m_granted);
}

TEST(SlotIssuer, DropsEndpointsThatNobodyAsksFor)
{
  Ask("h1", 0, 1, kStart);
  m_issuer.Expire(kStart + 29s);
  LONGS_EQUAL(1, m_issuer.Count());
  m_issuer.Expire(kStart + 30s);
  LONGS_EQUAL(0, m_issuer.Count());
}

// Every host always has a request waiting; a request takes 60 ms. The messages to the issuer depend
// on the slots, not on the hosts.
TEST(SlotIssuer, MessagesAndUseOfSlotsAtAnySize)
{
  for (const std::size_t count : { 10U, 100U, 1000U }) {
    SlotIssuer issuer;
    struct Event
    {
      base::TimePoint m_at;
      std::size_t m_host;
      bool m_ends; ///< a request of the host ends; else the host asks
      bool operator<(const Event& aOther) const { return m_at > aOther.m_at; }
    };
    std::priority_queue<Event> events;
    std::vector<std::uint32_t> open(count);
    std::vector<std::uint64_t> sequences(count);
    for (std::size_t host = 0; host < count; ++host) {
      events.push({ kStart + std::chrono::microseconds(host), host, false });
    }
    std::size_t messages = 0;
    std::size_t served = 0;
    std::uint32_t inUse = 0;
    std::uint32_t peak = 0;
    constexpr auto kSpan = 10s;
    while (events.top().m_at < kStart + kSpan) {
      const Event event = events.top();
      events.pop();
      if (event.m_ends) {
        --open[event.m_host];
        --inUse;
        ++served;
      }
      ++messages;
      const SlotDecision decision = issuer.Request({ kEndpoint,
                                                     std::to_string(event.m_host),
                                                     ++sequences[event.m_host],
                                                     kSlots,
                                                     open[event.m_host],
                                                     event.m_ends ? 0U : 1U,
                                                     0 },
                                                   event.m_at);
      if (decision.m_granted > 0) {
        ++open[event.m_host];
        peak = std::max(peak, ++inUse);
        events.push({ event.m_at + 60ms, event.m_host, true });
        events.push({ event.m_at + 1ms, event.m_host, false });
      } else if (!event.m_ends) {
        events.push({ event.m_at + decision.m_retryAfter + 1ms, event.m_host, false });
      }
    }
    CHECK(peak <= kSlots);
    const double possible = kSlots * base::Seconds(kSpan) / 0.06;
    CHECK(static_cast<double>(served) >= 0.8 * possible);
    CHECK(static_cast<double>(messages) <= 6 * possible);
  }
}
