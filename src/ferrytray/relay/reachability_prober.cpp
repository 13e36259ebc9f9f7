#include "ferrytray/relay/reachability_prober.hpp"

#include <algorithm> // for shuffle
#include <map>       // for map
#include <set>       // for set
#include <utility>   // for move

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/relay/crash_reporter.hpp"    // for CrashReporter
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine

namespace ferrytray::relay {

routing::ListedEndpoints CountListed(const fleet::Directory& aDirectory)
{
  routing::ListedEndpoints listed;
  std::set<std::string_view> zones;
  for (const fleet::Endpoint* endpoint : aDirectory.All()) {
    ++listed.m_endpoints;
    zones.insert(endpoint->m_zone);
  }
  listed.m_zones = zones.size();
  return listed;
}

std::vector<const fleet::Endpoint*> PickFromDifferentZones(RelayCore& aCore, std::size_t aCount)
{
  std::map<std::string_view, std::vector<const fleet::Endpoint*>> byZone;
  for (const fleet::Endpoint* endpoint : aCore.m_directory.All()) {
    if (aCore.m_directory.MayGetRequests(*endpoint)) {
      byZone[endpoint->m_zone].push_back(endpoint);
    }
  }
  std::vector<std::vector<const fleet::Endpoint*>*> zones;
  for (auto& [zone, endpoints] : byZone) {
    std::shuffle(endpoints.begin(), endpoints.end(), aCore.m_random);
    zones.push_back(&endpoints);
  }
  std::shuffle(zones.begin(), zones.end(), aCore.m_random);
  std::vector<const fleet::Endpoint*> picked;
  bool any = true;
  while (picked.size() < aCount && any) {
    any = false;
    for (std::vector<const fleet::Endpoint*>* endpoints : zones) {
      if (!endpoints->empty() && picked.size() < aCount) {
        picked.push_back(endpoints->back());
        endpoints->pop_back();
        any = true;
      }
    }
  }
  return picked;
}

ReachabilityProber::ReachabilityProber(RelayCore& aCore, ReachabilityProberOptions aOptions)
  : m_core(aCore)
  , m_options(aOptions)
{
}

void ReachabilityProber::Start()
{
  m_timer = m_core.m_loop.Every(m_options.m_checkInterval, [this] { Check(); });
}

void ReachabilityProber::Check()
{
  const base::TimePoint now = base::MonotonicNow();
  UpdateState(now);
  if (m_core.m_crashReporter != nullptr) {
    m_core.m_crashReporter->Check(now);
  }
  if (now < m_nextProbeAt || !m_core.m_reachability.IsSuspect(now)) {
    return;
  }
  const bool pendingReports =
    m_core.m_crashReporter != nullptr && m_core.m_crashReporter->HasPending();
  const bool onlySilent = m_core.m_reachability.FailedEndpoints() == 0 && !pendingReports;
  m_nextProbeAt = now + (onlySilent ? m_options.m_silenceProbeInterval : m_options.m_probeInterval);
  Probe(onlySilent ? 1 : m_options.m_endpointsPerRound);
}

void ReachabilityProber::Probe(std::size_t aCount)
{
  for (const fleet::Endpoint* endpoint : PickFromDifferentZones(m_core, aCount)) {
    ++m_probes;
    net::ClientRequest request;
    request.m_url = "http://" + endpoint->m_address + "/";
    request.m_connectOnly = true;
    request.m_connectTimeout = m_core.m_options.m_connectTimeout;
    request.m_timeout = m_core.m_options.m_connectTimeout;
    net::ClientEvents events;
    events.m_onEnd = [this, incarnation = endpoint->m_incarnation, zone = endpoint->m_zone](
                       const net::ClientOutcome& aOutcome) {
      OnProbed(incarnation, zone, aOutcome);
    };
    m_core.m_client.Start(std::move(request), std::move(events));
  }
}

void ReachabilityProber::OnProbed(const std::string& aIncarnation,
                                  const std::string& aZone,
                                  const net::ClientOutcome& aOutcome)
{
  const base::TimePoint now = base::MonotonicNow();
  if (aOutcome.m_end == net::WireEnd::Complete) {
    m_core.m_reachability.OnConnected(now);
    if (m_core.m_crashReporter != nullptr) {
      m_core.m_crashReporter->OnEndpointAlive(peers::KeyOf(aIncarnation), now);
    }
  } else {
    m_core.m_reachability.OnConnectFailed(
      aIncarnation, aZone, CountListed(m_core.m_directory), now);
  }
  UpdateState(now);
}

void ReachabilityProber::UpdateState(base::TimePoint aNow)
{
  const routing::Reachability state = m_core.m_reachability.State(aNow);
  if (state == m_lastState) {
    return;
  }
  telemetry::LogLine("endpoints_reachability")
    .Add("state", routing::ToString(state))
    .Add("before", routing::ToString(m_lastState))
    .Add("failed_endpoints", m_core.m_reachability.FailedEndpoints())
    .Add("failed_connects", m_core.m_reachability.FailedConnects())
    .Add("probes", m_probes);
  m_lastState = state;
  if (state == routing::Reachability::Returning) {
    m_core.m_endpointTracker.ForgetFailures();
  }
  const bool reachable = state != routing::Reachability::Unreachable;
  m_core.m_metrics.Set("endpoints_reachable", reachable ? 1 : 0);
  if (m_onStateChange) {
    m_onStateChange(state);
  }
}

} // namespace ferrytray::relay
