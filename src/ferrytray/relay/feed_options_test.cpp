// A host answered 404 for a route 4 s after the configuration that adds it was acknowledged; the
// bound is 2 s. The log may hold a read open and not answer it although the record is there,
// because it drops its history meanwhile or the answer is lost. Nothing else fails at the host. The
// read stayed open for 20 s, and reads of the directory counted as contact with the log, so the
// host took its old configuration for the newest.
//
// Reproduced by dropping the history just before changes: the read that returned the configuration
// had been open for 9 s, and 404s were sent at a configuration age of 2.8 to 5.3 s.
//
// Every option must therefore follow from the bound, whatever the log does with a single read.
#include "ferrytray/relay/feed_options.hpp"

#include <vector> // for vector

#include "ferrytray/peers/peer_exchange.hpp"  // for PeerExchangeOptions
#include "ferrytray/store/topic_follower.hpp" // for FollowOptions

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

relay::PropagationBounds UniformBounds(base::Duration aBound)
{
  return { aBound, aBound, aBound, aBound, aBound };
}

} // namespace

TEST_GROUP(FeedOptions)
{
  const std::vector<base::Duration> m_bounds{ 1s, 2s, 3s, 4s, 8s };
  const base::Duration m_retry = store::FollowOptions{}.m_retryMin;
  const base::Duration m_pollInterval = peers::PeerExchangeOptions{}.m_pollInterval;
};

TEST(FeedOptions, UnansweredReadIsRetriedWithinBound)
{
  for (const base::Duration bound : m_bounds) {
    const relay::FeedOptions options = relay::FeedOptionsFor(UniformBounds(bound));
    const base::Duration readTimeout = options.m_operatorWait + options.m_operatorGrace;
    CHECK(readTimeout + m_retry + m_pollInterval <= bound);
  }
}

// Several long polls in a row may go unanswered. Each is followed by a plain read, which the log
// answers in milliseconds.
TEST(FeedOptions, ConsecutiveUnansweredReadsStayWithinBound)
{
  constexpr base::Duration kAnswer = 100ms;
  for (const base::Duration bound : m_bounds) {
    const relay::FeedOptions options = relay::FeedOptionsFor(UniformBounds(bound));
    // A change just after a read began is known when the following plain read is answered. A host
    // that follows another host asks it later still.
    const base::Duration maxKnownAfter = options.m_operatorWait + options.m_operatorGrace + kAnswer;
    CHECK(maxKnownAfter + m_pollInterval <= bound);
    // A reader's records may have this age; then the follower sends a plain read itself.
    CHECK(options.m_operatorPeerMaxAge + kAnswer <= bound);
  }
}

TEST(FeedOptions, DenialsStopBeforeConfigurationBound)
{
  for (const base::Duration bound : m_bounds) {
    CHECK(relay::MaxDenialAge(UniformBounds(bound)) < bound);
    // The same for a host that follows a host whose reads hang.
    CHECK(relay::FeedOptionsFor(UniformBounds(bound)).m_operatorPeerMaxAge < bound);
  }
}

TEST(FeedOptions, TightestTopicBoundApplies)
{
  relay::PropagationBounds bounds = UniformBounds(8s);
  bounds.m_revocationDue = 1s;
  CHECK(relay::FeedOptionsFor(bounds).m_operatorWait <= 500ms);
  CHECK(relay::MaxDenialAge(bounds) < 1s);
}

TEST(FeedOptions, ConfigurationStaysFreshInNormalOperation)
{
  for (const base::Duration bound : m_bounds) {
    const relay::FeedOptions options = relay::FeedOptionsFor(UniformBounds(bound));
    // The read that was answered last began one wait time ago, and the next answer is one wait time
    // away.
    const base::Duration oldest = 2 * options.m_operatorWait;
    CHECK(oldest < options.m_operatorPeerMaxAge);
    CHECK(oldest + m_pollInterval < relay::MaxDenialAge(UniformBounds(bound)));
  }
}

TEST(FeedOptions, DirectoryPauseScalesWithDrainTime)
{
  const relay::FeedOptions once = relay::FeedOptionsFor(UniformBounds(2s));
  const relay::FeedOptions twice = relay::FeedOptionsFor(UniformBounds(4s));
  CHECK(twice.m_endpointPause == 2 * once.m_endpointPause);
  CHECK(twice.m_endpointServingPause == 2 * once.m_endpointServingPause);
  CHECK(once.m_endpointPause + 600ms + m_retry < 2s);
}

TEST(FeedOptions, IsolatedHostReadsQuarantineWithinBound)
{
  for (const base::Duration bound : m_bounds) {
    const relay::FeedOptions options = relay::FeedOptionsFor(UniformBounds(bound));
    CHECK(options.m_quarantineIsolatedInterval + options.m_quarantineGrace < bound);
    // A reading host gets one answer from the log per wait time.
    CHECK(options.m_quarantinePeerMaxAge >
          2 * options.m_quarantineWait + options.m_quarantineGrace + 2 * m_pollInterval);
  }
}

// An entry expires after three heartbeat intervals without one, so only an outage of two intervals
// or more removes entries of endpoints that are up. A host that loses its source and whose first
// own read fails is without an answer for a shorter time.
TEST(FeedOptions, OutageIsLongerThanChangeOfSourceAndRecognizedWhereEntriesExpire)
{
  constexpr base::Duration kAnswer = 100ms;
  for (const base::Duration bound : m_bounds) {
    for (const base::Duration heartbeat : { base::Duration(1200ms), base::Duration(2s) }) {
      relay::PropagationBounds bounds = UniformBounds(bound);
      bounds.m_heartbeat = heartbeat;
      const relay::FeedOptions options = relay::FeedOptionsFor(bounds);
      CHECK(options.m_minEndpointOutage >
            options.m_endpointPeerMaxAge + options.m_endpointTakeoverDelay + m_retry + kAnswer);
      CHECK(options.m_minEndpointOutage > options.m_endpointPause + m_retry + kAnswer);
      // At longer bounds hosts read the log too rarely to notice such an outage.
      if (bound <= 2s || (bound <= 3s && heartbeat >= 2s)) {
        CHECK(options.m_minEndpointOutage < 2 * heartbeat);
      }
    }
  }
}
