#include "ferrytray/routing/reachability.hpp"

#include <algorithm> // for clamp, min
#include <set>       // for set

namespace ferrytray::routing {

std::string ToString(Reachability aState)
{
  switch (aState) {
    case Reachability::Reachable:
      return "reachable";
    case Reachability::NoNewConnections:
      return "no_new_connections";
    case Reachability::Unreachable:
      return "unreachable";
    case Reachability::Returning:
      break;
  }
  return "returning";
}

void ReachabilityMonitor::OnSent(base::TimePoint aNow)
{
  if (!m_unansweredSince) {
    m_unansweredSince = aNow;
  }
}

void ReachabilityMonitor::OnAnswered(base::TimePoint aNow)
{
  m_unansweredSince.reset();
  m_answeredAt = aNow;
}

void ReachabilityMonitor::OnConnected(base::TimePoint aNow)
{
  m_failures.clear();
  m_brokenAt.reset();
  // The endpoint has accepted a connection, but need not have answered the open requests.
  if (m_unansweredSince) {
    m_unansweredSince = aNow;
  }
  if (m_connectsFail) {
    m_connectsFail = false;
    m_returnedAt = aNow;
  }
}

void ReachabilityMonitor::OnConnectFailed(const std::string& aEndpoint,
                                          const std::string& aZone,
                                          const ListedEndpoints& aListed,
                                          base::TimePoint aNow)
{
  ++m_failedConnects;
  std::erase_if(m_failures, [&](const auto& aPair) {
    return aNow >= aPair.second.m_at + m_options.m_evidenceLifetime;
  });
  m_failures[aEndpoint] = { aZone, aNow };
  std::set<std::string> zones;
  for (const auto& [endpoint, failure] : m_failures) {
    zones.insert(failure.m_zone);
  }
  const bool enough =
    aListed.m_endpoints > 0 &&
    m_failures.size() >= std::min(m_options.m_minEndpoints, aListed.m_endpoints) &&
    zones.size() >= std::min(m_options.m_minZones, aListed.m_zones);
  m_connectsFail = m_connectsFail || enough;
}

Reachability ReachabilityMonitor::State(base::TimePoint aNow) const
{
  if (m_connectsFail) {
    const bool answers = m_answeredAt && aNow < *m_answeredAt + m_options.m_silentAfter;
    return answers ? Reachability::NoNewConnections : Reachability::Unreachable;
  }
  const bool returning = m_returnedAt && aNow < *m_returnedAt + m_options.m_returnTime;
  return returning ? Reachability::Returning : Reachability::Reachable;
}

bool ReachabilityMonitor::IsSuspect(base::TimePoint aNow) const
{
  return m_connectsFail || !m_failures.empty() || m_brokenAt || IsSilent(aNow);
}

double ReachabilityMonitor::DirectFraction(base::TimePoint aNow) const
{
  switch (State(aNow)) {
    case Reachability::Unreachable:
      return 0;
    case Reachability::Returning: {
      constexpr double kInitialFraction = 0.1;
      const double passed =
        base::Seconds(aNow - m_returnedAt.value_or(aNow)) / base::Seconds(m_options.m_returnTime);
      return std::clamp(passed, kInitialFraction, 1.0);
    }
    case Reachability::Reachable:
    case Reachability::NoNewConnections:
      break;
  }
  return 1;
}

} // namespace ferrytray::routing
