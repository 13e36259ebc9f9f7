#include "ferrytray/keeper/endpoint_watch.hpp"

#include <algorithm> // for max_element, min

#include "ferrytray/base/digest.hpp"        // for Hash64
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::keeper {

namespace {

constexpr base::Duration kPollTimeout = std::chrono::seconds(1);
constexpr int kOk = 200;

std::uint32_t MillisBetween(base::TimePoint aFrom, base::TimePoint aTo)
{
  return static_cast<std::uint32_t>((aTo - aFrom).count() / 1000);
}

} // namespace

EndpointWatch::EndpointWatch(net::Loop& aLoop,
                             net::HttpClient& aHttp,
                             const KeeperOptions& aOptions)
  : m_loop(aLoop)
  , m_http(aHttp)
  , m_options(aOptions)
{
}

void EndpointWatch::Start(OnEntryHosts aOnEntryHosts)
{
  m_onEntryHosts = std::move(aOnEntryHosts);
  PollHostList();
  m_hostListTimer = m_loop.Every(m_options.m_hostListPollInterval, [this] { PollHostList(); });
  m_loadTimer = m_loop.Every(m_options.m_loadPollInterval, [this] { PollLoads(); });
}

void EndpointWatch::PollHostList()
{
  if (m_hostListPending) {
    return;
  }
  m_hostListPending = true;
  net::ClientRequest request;
  request.m_url = m_options.m_platform + "/hosts";
  if (!m_hostListEtag.empty()) {
    request.m_headers = { { "If-None-Match", m_hostListEtag } };
  }
  request.m_timeout = kPollTimeout;
  request.m_match = net::InOrder(); // an earlier list is replaced at the next poll
  m_http.Fetch(std::move(request),
               [this](const net::ClientOutcome& aOutcome, const std::string& aBody) {
                 m_hostListPending = false;
                 const bool ended = net::EndedWithoutFailure(aOutcome);
                 // Keep the ETag only of an accepted list: the platform replies "not modified" to
                 // it and does not send that list again.
                 if (ended && aOutcome.m_status == kOk && OnHostList(aBody)) {
                   m_hostListEtag = aOutcome.m_etag;
                 }
               });
}

bool EndpointWatch::OnHostList(const std::string& aJson)
{
  const auto hosts = wire::ParseHostList(aJson);
  if (!hosts) {
    telemetry::LogLine("host_list_unreadable").Add("why", hosts.error().m_message);
    return false;
  }
  std::vector<wire::ListedHost> entries;
  std::map<std::string, std::string> currentIncarnations;
  std::map<std::string, EndpointState> updatedEndpoints;
  for (const wire::ListedHost& host : *hosts) {
    if (host.m_role == wire::Role::Entry) {
      entries.push_back(host);
      continue;
    }
    currentIncarnations[host.m_name] = host.m_incarnation;
    const auto previous = m_endpoints.find(host.m_name);
    const bool sameIncarnation =
      previous != m_endpoints.end() && previous->second.m_host.m_incarnation == host.m_incarnation;
    EndpointState state = sameIncarnation ? previous->second : EndpointState{};
    state.m_host = host;
    if (host.m_leaving) {
      MarkLeaving(host.m_name, host.m_incarnation);
    }
    updatedEndpoints.emplace(host.m_name, std::move(state));
  }
  m_endpoints = std::move(updatedEndpoints);
  m_leaving.Prune(currentIncarnations);
  m_onEntryHosts(entries);
  return true;
}

void EndpointWatch::PollLoads()
{
  for (auto& [name, state] : m_endpoints) {
    if (state.m_loadPending || !MustPoll(state.m_host)) {
      continue;
    }
    state.m_loadPending = true;
    net::ClientRequest request;
    request.m_url = "http://" + state.m_host.m_address + "/load";
    request.m_timeout = kPollTimeout;
    request.m_match = net::InOrder(); // an earlier load is replaced at the next poll
    m_http.Fetch(
      std::move(request),
      [this, endpoint = name](const net::ClientOutcome& aOutcome, const std::string& aBody) {
        const auto found = m_endpoints.find(endpoint);
        if (found == m_endpoints.end()) {
          return;
        }
        found->second.m_loadPending = false;
        if (net::EndedWithoutFailure(aOutcome) && aOutcome.m_status == kOk) {
          OnLoad(endpoint, aBody);
        }
      });
  }
}

bool EndpointWatch::MustPoll(const wire::ListedHost& aEngine) const
{
  if (aEngine.m_role != wire::Role::Engine) {
    return false;
  }
  if (m_pollAllZones || m_zoneHosts.empty()) {
    return m_pollAllZones || aEngine.m_zone == m_options.m_zone;
  }
  const auto score = [&](const std::string& aHost) { return base::Hash64(aEngine.m_name, aHost); };
  const auto owner = std::max_element(
    m_zoneHosts.begin(), m_zoneHosts.end(), [&](const auto& aLeft, const auto& aRight) {
      return score(aLeft) < score(aRight);
    });
  return aEngine.m_zone == m_options.m_zone && *owner == m_options.m_host;
}

void EndpointWatch::OnLoad(const std::string& aName, const std::string& aJson)
{
  const auto report = wire::ParseLoadReport(aJson);
  EndpointState& state = m_endpoints.at(aName);
  if (!report || report->m_incarnation != state.m_host.m_incarnation) {
    return;
  }
  state.m_load = *report;
  state.m_reportedAt = base::MonotonicNow() - std::chrono::milliseconds(report->m_ageMillis);
  if (report->m_leaving) {
    MarkLeaving(aName, report->m_incarnation);
  }
}

void EndpointWatch::MarkLeaving(const std::string& aEndpoint, const std::string& aIncarnation)
{
  if (!m_leaving.Contains(aEndpoint, aIncarnation)) {
    telemetry::LogLine("endpoint_leaving")
      .Add("endpoint", aEndpoint)
      .Add("incarnation", aIncarnation);
    m_leaving.Add(aEndpoint, aIncarnation);
  }
}

void EndpointWatch::OnRemoteLoad(const membership::LoadDigest& aDigest, base::TimePoint aNow)
{
  const auto found = m_endpoints.find(aDigest.m_worker);
  const base::TimePoint reportedAt = aNow - std::chrono::milliseconds(aDigest.m_ageMillis);
  if (found == m_endpoints.end() || found->second.m_reportedAt >= reportedAt) {
    return;
  }
  wire::LoadReport& load = found->second.m_load;
  load.m_incarnation = found->second.m_host.m_incarnation;
  load.m_queuedMillis = aDigest.m_queuedMillis;
  load.m_version = aDigest.m_version;
  load.m_swapping = aDigest.m_version.empty();
  load.m_tokensPerSecond = aDigest.m_tokensPerSecond;
  found->second.m_reportedAt = reportedAt;
}

std::vector<wire::EndpointStatus> EndpointWatch::Endpoints(base::TimePoint aNow) const
{
  std::vector<wire::EndpointStatus> all;
  for (const auto& [name, state] : m_endpoints) {
    wire::EndpointStatus status{ state.m_host,
                                 state.m_load,
                                 MillisBetween(state.m_reportedAt, aNow) };
    status.m_host.m_leaving = m_leaving.Contains(name, state.m_host.m_incarnation);
    all.push_back(std::move(status));
  }
  return all;
}

std::vector<membership::LoadDigest> EndpointWatch::NextLoadDigests(std::size_t aCount,
                                                                   base::TimePoint aNow)
{
  std::vector<membership::LoadDigest> digests;
  for (std::size_t step = 0; step < m_endpoints.size() && digests.size() < aCount; ++step) {
    auto next = m_endpoints.upper_bound(m_digestCursor);
    next = next == m_endpoints.end() ? m_endpoints.begin() : next;
    m_digestCursor = next->first;
    const EndpointState& state = next->second;
    const bool inOwnZone =
      state.m_host.m_role == wire::Role::Engine && state.m_host.m_zone == m_options.m_zone;
    if (inOwnZone && state.m_reportedAt != base::TimePoint{}) {
      digests.push_back({ next->first,
                          state.m_load.m_queuedMillis,
                          MillisBetween(state.m_reportedAt, aNow),
                          state.m_load.m_version,
                          static_cast<float>(state.m_load.m_tokensPerSecond) });
    }
  }
  return digests;
}

} // namespace ferrytray::keeper
