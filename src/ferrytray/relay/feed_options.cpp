#include "ferrytray/relay/feed_options.hpp"

#include <algorithm> // for max, min

#include "ferrytray/base/known_age.hpp" // for DeniesWithin

namespace ferrytray::relay {

namespace {

// Percentage of the drain time between two reads of the directory; every read is charged. A leaving
// endpoint may receive requests for the whole drain time; the rest allows for a slow answer and for
// requests in progress.
constexpr int kPausePercent = 55;

// The same while other hosts follow through this one, in percent. They ask three times a second and
// notice a failed host within a second.
constexpr int kServingPausePercent = 35;

// Allows for a slow answer of the log and the interval at which another host asks.
constexpr base::Duration kPeerAgeSlack = std::chrono::milliseconds(700);

// A configuration must be in force within the bound even if the log never answers one read. Such a
// read costs the wait and the grace time, 55 % of the bound; the rest is for the next read and for
// hosts that ask this one. This takes four reads of the topic per bound at each reading host. With
// a bound of 2 s and eight hosts, the log calls of a 44 s day grow by a factor of 1.6, which costs
// 0.005 of that day's worth.
constexpr int kOperatorWaitPercent = 25;
constexpr int kOperatorGracePercent = 30;

// The log answers in milliseconds; this still covers a log that is 100 times slower.
constexpr base::Duration kMaxOperatorGrace = std::chrono::milliseconds(600);

// A host that receives the operators' records from another host reads by itself before the bound
// ends.
constexpr int kOperatorPeerAgePercent = 85;

// A leaving endpoint may get requests until the drain time ends; by this part of it all hosts have
// begun to read the directory themselves.
constexpr int kEndpointTakeoverPercent = 75;

// An entry expires three heartbeat intervals after its last heartbeat. That may be up to 1.25
// intervals old when an outage begins, so shorter outages remove no entry.
constexpr int kMinOutagePercent = 175;

// A host whose source fails reads the log itself; its first read may fail on a connection that was
// reset with the source's.
constexpr base::Duration kFirstReadRetry = std::chrono::milliseconds(400);

// Of the bound on operators' records, for the processing of a read.
constexpr base::Duration kOperatorTakeoverMargin = std::chrono::milliseconds(200);

// Hosts notify each other of crashing requests, so only hosts that start or are cut off from all
// others need the log. The rest of the bound is for the answer.
constexpr int kQuarantineIsolatedPercent = 50;

base::Duration PercentOf(base::Duration aWhole, int aPercent)
{
  constexpr int kWholePercent = 100;
  return aWhole * aPercent / kWholePercent;
}

/// All operator records share one topic, so its tightest bound applies.
base::Duration TightestOperatorBound(const PropagationBounds& aBounds)
{
  return std::min({ aBounds.m_configurationDue, aBounds.m_evacuationDue, aBounds.m_revocationDue });
}

} // namespace

FeedOptions FeedOptionsFor(const PropagationBounds& aBounds)
{
  FeedOptions options;
  const base::Duration due = TightestOperatorBound(aBounds);
  options.m_operatorWait = PercentOf(due, kOperatorWaitPercent);
  options.m_operatorGrace = std::min(PercentOf(due, kOperatorGracePercent), kMaxOperatorGrace);
  options.m_operatorPeerMaxAge =
    std::min(2 * options.m_operatorWait + kPeerAgeSlack, PercentOf(due, kOperatorPeerAgePercent));
  options.m_operatorTakeoverDelay =
    std::max(due - options.m_operatorPeerMaxAge - options.m_operatorGrace - kOperatorTakeoverMargin,
             base::Duration::zero());
  options.m_endpointPause = PercentOf(aBounds.m_drain, kPausePercent);
  options.m_endpointServingPause = PercentOf(aBounds.m_drain, kServingPausePercent);
  options.m_endpointPeerMaxAge = options.m_endpointServingPause + kPeerAgeSlack;
  options.m_endpointTakeoverDelay =
    std::max(PercentOf(aBounds.m_drain, kEndpointTakeoverPercent) - options.m_endpointPeerMaxAge,
             base::Duration::zero());
  // A host that changes its source must not take its own time without an answer for an outage.
  options.m_minEndpointOutage =
    std::max(PercentOf(aBounds.m_heartbeat, kMinOutagePercent),
             options.m_endpointPeerMaxAge + options.m_endpointTakeoverDelay + kFirstReadRetry);
  options.m_quarantineIsolatedInterval =
    PercentOf(aBounds.m_quarantineDue, kQuarantineIsolatedPercent);
  options.m_quarantineTakeoverDelay = options.m_quarantineIsolatedInterval;
  options.m_quarantineGrace =
    std::min(PercentOf(aBounds.m_quarantineDue, kOperatorGracePercent), kMaxOperatorGrace);
  return options;
}

base::Duration MaxDenialAge(const PropagationBounds& aBounds)
{
  return base::ToMaxDenialAge(TightestOperatorBound(aBounds));
}

} // namespace ferrytray::relay
