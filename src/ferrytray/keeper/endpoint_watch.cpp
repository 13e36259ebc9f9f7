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

void EndpointWatch::Start(OnHosts aOnHosts)
{
  m_onHosts = std::move(aOnHosts);
  PollHostList();
  m_listTimer = m_loop.Every(m_options.m_hostListPoll, [this] { PollHostList(); });
  m_loadTimer = m_loop.Every(m_options.m_loadPoll, [this] { PollLoads(); });
}

void EndpointWatch::PollHostList()
{
  if (m_listing) {
    return;
  }
  m_listing = true;
  net::ClientRequest request;
  request.m_url = m_options.m_platform + "/hosts";
  if (!m_listTag.empty()) {
    request.m_headers = { { "If-None-Match", m_listTag } };
  }
  request.m_timeout = kPollTimeout;
  m_http.Fetch(std::move(request),
               [this](const net::ClientOutcome& aOutcome, const std::string& aBody) {
                 m_listing = false;
                 const bool whole = aOutcome.m_end == net::WireEnd::Complete;
                 // The platform says "not modified" to a tag; so only of a list that was taken.
                 if (whole && aOutcome.m_status == kOk && OnHostList(aBody)) {
                   m_listTag = aOutcome.m_etag;
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
  std::map<std::string, std::string> current;
  std::map<std::string, Known> listed;
  for (const wire::ListedHost& host : *hosts) {
    if (host.m_role == wire::Role::Entry) {
      entries.push_back(host);
      continue;
    }
    current[host.m_name] = host.m_incarnation;
    const auto before = m_endpoints.find(host.m_name);
    const bool same =
      before != m_endpoints.end() && before->second.m_host.m_incarnation == host.m_incarnation;
    Known known = same ? before->second : Known{};
    known.m_host = host;
    if (host.m_leaving) {
      MarkLeaving(host.m_name, host.m_incarnation);
    }
    listed.emplace(host.m_name, std::move(known));
  }
  m_endpoints = std::move(listed);
  m_leaving.Prune(current);
  m_onHosts(entries);
  return true;
}

void EndpointWatch::PollLoads()
{
  for (auto& [name, known] : m_endpoints) {
    if (known.m_polling || !MustPoll(known.m_host)) {
      continue;
    }
    known.m_polling = true;
    net::ClientRequest request;
    request.m_url = "http://" + known.m_host.m_address + "/load";
    request.m_timeout = kPollTimeout;
    m_http.Fetch(
      std::move(request),
      [this, endpoint = name](const net::ClientOutcome& aOutcome, const std::string& aBody) {
        const auto found = m_endpoints.find(endpoint);
        if (found == m_endpoints.end()) {
          return;
        }
        found->second.m_polling = false;
        if (aOutcome.m_status == kOk) {
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
  if (m_allZones || m_zoneHosts.empty()) {
    return m_allZones || aEngine.m_zone == m_options.m_zone;
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
  Known& known = m_endpoints.at(aName);
  if (!report || report->m_incarnation != known.m_host.m_incarnation) {
    return;
  }
  known.m_load = *report;
  known.m_reportedAt = base::MonotonicNow() - std::chrono::milliseconds(report->m_ageMillis);
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
  for (const auto& [name, known] : m_endpoints) {
    wire::EndpointStatus status{ known.m_host,
                                 known.m_load,
                                 MillisBetween(known.m_reportedAt, aNow) };
    status.m_host.m_leaving = m_leaving.Contains(name, known.m_host.m_incarnation);
    all.push_back(std::move(status));
  }
  return all;
}

std::vector<membership::LoadDigest> EndpointWatch::NextDigests(std::size_t aCount,
                                                               base::TimePoint aNow)
{
  std::vector<membership::LoadDigest> digests;
  for (std::size_t step = 0; step < m_endpoints.size() && digests.size() < aCount; ++step) {
    auto next = m_endpoints.upper_bound(m_digestCursor);
    next = next == m_endpoints.end() ? m_endpoints.begin() : next;
    m_digestCursor = next->first;
    const Known& known = next->second;
    const bool own =
      known.m_host.m_role == wire::Role::Engine && known.m_host.m_zone == m_options.m_zone;
    if (own && known.m_reportedAt != base::TimePoint{}) {
      digests.push_back({ next->first,
                          known.m_load.m_queuedMillis,
                          MillisBetween(known.m_reportedAt, aNow),
                          known.m_load.m_version,
                          static_cast<float>(known.m_load.m_tokensPerSecond) });
    }
  }
  return digests;
}

} // namespace ferrytray::keeper
