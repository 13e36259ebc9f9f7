#include "ferrytray/relay/feed_options.hpp"

#include <algorithm> // for min

#include "ferrytray/base/known_age.hpp" // for DeniesWithin

namespace ferrytray::relay {

namespace {

// Every read of the directory is charged. A leaving endpoint may get requests for the whole drain
// time; the rest of it is for a slow answer and for requests under way (percent).
constexpr int kPausePercent = 55;

// The same while other hosts follow through this one: they ask three times a second, and notice a
// host that fails within a second (percent).
constexpr int kServingPausePercent = 35;

// A slow answer of the log, and the time between two questions of another host.
constexpr base::Duration kPeerAgeSlack = std::chrono::milliseconds(700);

// A configuration has to be in force within the bound, whatever the log does with one read. One
// that is never answered costs a wait and the patience, 55 in 100 of the bound; the rest is for the
// next read and for hosts that ask this one. It costs four reads of the topic in the time of the
// bound, at the hosts that read: with 2 s and eight hosts 1.6 times the calls to the log of a day
// of 44 s, which is 0.005 of its worth.
constexpr int kOperatorWaitPercent = 25;
constexpr int kOperatorGracePercent = 30;

// Answers take milliseconds; one of a log that is slow by a factor of 100 is still waited for.
constexpr base::Duration kMaxOperatorGrace = std::chrono::milliseconds(600);

// A host that hears of operators through another one reads by itself before the bound is over.
constexpr int kOperatorPeerAgePercent = 85;

// Hosts tell each other of requests that end endpoints, so the log is needed only by those that
// start or are cut off from all others; what is left of the bound is for the answer.
constexpr int kQuarantineIsolatedPercent = 50;

base::Duration PercentOf(base::Duration aWhole, int aPercent)
{
  constexpr int kWholePercent = 100;
  return aWhole * aPercent / kWholePercent;
}

/// All that operators say comes through one topic; the tightest of its bounds counts.
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
  options.m_endpointPause = PercentOf(aBounds.m_drain, kPausePercent);
  options.m_endpointServingPause = PercentOf(aBounds.m_drain, kServingPausePercent);
  options.m_endpointPeerMaxAge = options.m_endpointServingPause + kPeerAgeSlack;
  options.m_quarantineIsolatedInterval =
    PercentOf(aBounds.m_quarantineDue, kQuarantineIsolatedPercent);
  options.m_quarantineGrace =
    std::min(PercentOf(aBounds.m_quarantineDue, kOperatorGracePercent), kMaxOperatorGrace);
  return options;
}

base::Duration MaxDenialAge(const PropagationBounds& aBounds)
{
  return base::DeniesWithin(TightestOperatorBound(aBounds));
}

} // namespace ferrytray::relay
