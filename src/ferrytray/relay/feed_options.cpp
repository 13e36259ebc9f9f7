#include "ferrytray/relay/feed_options.hpp"

#include <algorithm> // for min

namespace ferrytray::relay {

namespace {

// Every read of the directory is charged. A leaving endpoint may get requests for the whole drain
// time; the rest of it is for a slow answer and for requests under way (percent).
constexpr int kPausePart = 55;

// The same while other hosts follow through this one: they ask three times a second, and notice a
// host that fails within a second (percent).
constexpr int kServingPausePart = 35;

// A slow answer of the log, and the time between two questions of another host.
constexpr base::Duration kNewsSlack = std::chrono::milliseconds(700);

// A read that was lost around an outage is given up and repeated within the time in which a
// configuration has to be in force (percent).
constexpr int kWaryPart = 40;

// How much later than planned the next contact may come before it counts as missed.
constexpr base::Duration kContactSlack = std::chrono::milliseconds(500);

base::Duration Part(base::Duration aWhole, int aPercent)
{
  constexpr int kWholePercent = 100;
  return aWhole * aPercent / kWholePercent;
}

/// All that operators say comes through one topic; the tightest of its bounds counts.
base::Duration OperatorsDue(const LogBounds& aBounds)
{
  return std::min({ aBounds.m_configurationDue, aBounds.m_evacuationDue, aBounds.m_revocationDue });
}

} // namespace

FeedOptions FeedOptionsFor(const LogBounds& aBounds)
{
  FeedOptions options;
  options.m_operatorWaryWait = Part(OperatorsDue(aBounds), kWaryPart);
  options.m_endpointPause = Part(aBounds.m_drain, kPausePart);
  options.m_endpointServingPause = Part(aBounds.m_drain, kServingPausePart);
  options.m_endpointNewsFresh = options.m_endpointServingPause + kNewsSlack;
  options.m_operatorNewsFresh = options.m_endpointNewsFresh;
  return options;
}

base::Duration DeniesWithin(const LogBounds& aBounds)
{
  return Part(aBounds.m_drain, kPausePart) + kContactSlack;
}

} // namespace ferrytray::relay
