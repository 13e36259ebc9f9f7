#include "ferrytray/relay/permit_client.hpp"

#include <algorithm> // for clamp, max
#include <utility>   // for move

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine

namespace ferrytray::relay {

namespace {

/// When to ask for permits again if the hosts that were asked did not answer: other ones are asked
/// then.
constexpr std::int32_t kRetryAfterFailureMillis = 50;

} // namespace

PermitClient::PermitClient(RelayCore& aCore,
                           peers::PeerExchange& aPeerExchange,
                           PermitOptions aOptions)
  : m_core(aCore)
  , m_peerExchange(aPeerExchange)
  , m_options(aOptions)
{
  m_peerExchange.OnPermitRequest(
    [this](const peers::PermitRequest& aRequest) { return Issue(aRequest); });
}

void PermitClient::Request(const fleet::Endpoint& aEndpoint, Done aDone)
{
  const limits::EndpointKey key = peers::KeyOf(aEndpoint.m_incarnation);
  const auto report = m_core.m_endpointLimits.ReportOf(key, base::MonotonicNow());
  if (!report) {
    aDone(true); // the limit has ended meanwhile
    return;
  }
  AskNextHost({ { aEndpoint.m_zone, *report }, aEndpoint.m_incarnation, 0, std::move(aDone) });
}

void PermitClient::AskNextHost(PendingRequest aPending)
{
  const base::TimePoint now = base::MonotonicNow();
  const peers::PermitRequest request = aPending.m_request;
  const std::optional<peers::Peer> host = m_peerExchange.PermitIssuer(
    request.m_limit.m_endpoint, request.m_zone, HostsInBackoff(now), now);
  if (!host || m_peerExchange.IsSelf(*host)) {
    OnReply(aPending, Issue(request));
    return;
  }
  if (aPending.m_hostsAsked >= m_options.m_maxHostsAsked) {
    OnReply(aPending, { 0, false, kRetryAfterFailureMillis });
    return;
  }
  ++aPending.m_hostsAsked;
  auto onReply = [this, name = host->m_name, pending = std::move(aPending)](
                   std::optional<peers::PermitReply> aReply) {
    if (!aReply) {
      m_core.m_metrics.Count("permit_requests_total{outcome=\"missed\"}");
      OnHostFailed(name, base::MonotonicNow());
      AskNextHost(pending);
      return;
    }
    m_backoffs.erase(name);
    OnReply(pending, *aReply);
  };
  m_peerExchange.RequestPermits(*host, request, std::move(onReply));
}

void PermitClient::OnHostFailed(const std::string& aHost, base::TimePoint aNow)
{
  Backoff& backoff = m_backoffs[aHost];
  if (aNow < backoff.m_until) {
    return; // several requests to the host failed at the same time
  }
  backoff.m_delay = std::clamp(2 * backoff.m_delay, m_options.m_backoffMin, m_options.m_backoffMax);
  backoff.m_until = aNow + backoff.m_delay;
}

void PermitClient::OnReply(const PendingRequest& aPending, const peers::PermitReply& aReply)
{
  const base::TimePoint now = base::MonotonicNow();
  const limits::EndpointKey key = aPending.m_request.m_limit.m_endpoint;
  if (aReply.m_unlimited) {
    telemetry::LogLine("endpoint_limit")
      .Add("endpoint", aPending.m_incarnation)
      .Add("outcome", "ended")
      .Add("per_second", aPending.m_request.m_limit.m_limit);
    m_core.m_endpointLimits.Forget(key);
    m_core.m_permits.Forget(key);
    aPending.m_done(true);
    return;
  }
  const bool granted = aReply.m_granted > 0;
  if (granted) {
    m_core.m_permits.OnGranted(key, aReply.m_granted - 1, now + m_options.m_permitLifetime);
  } else {
    m_core.m_permits.OnDenied(key, now + std::chrono::milliseconds(aReply.m_retryAfterMillis));
  }
  m_core.m_metrics.Count(granted ? "permit_requests_total{outcome=\"granted\"}"
                                 : "permit_requests_total{outcome=\"denied\"}");
  aPending.m_done(granted);
}

peers::PermitReply PermitClient::Issue(const peers::PermitRequest& aRequest)
{
  const base::TimePoint now = base::MonotonicNow();
  const limits::EndpointKey key = aRequest.m_limit.m_endpoint;
  m_core.m_endpointLimits.OnReport(aRequest.m_limit, now);
  // This host may know of a later answer than the requesting one.
  const limits::LimitReport report =
    m_core.m_endpointLimits.ReportOf(key, now).value_or(aRequest.m_limit);
  const limits::PermitDecision decision =
    m_issuer.Request(report, Share(key, aRequest.m_zone, now), now);
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(decision.m_retryAfter).count();
  return { decision.m_granted, decision.m_unlimited, static_cast<std::int32_t>(millis) };
}

double PermitClient::Share(limits::EndpointKey aEndpoint,
                           const std::string& aZone,
                           base::TimePoint aNow) const
{
  const std::size_t hosts = m_peerExchange.HostCount();
  if (!m_peerExchange.HostsKnown()) {
    return m_options.m_startupShare;
  }
  if (hosts > 1 && !m_peerExchange.AnyHostReachable(HostsInBackoff(aNow), aNow)) {
    return 1.0 / static_cast<double>(hosts);
  }
  return m_peerExchange.IsFirstPermitIssuer(aEndpoint, aZone) ? 1.0 : m_options.m_backupShare;
}

std::set<std::string> PermitClient::HostsInBackoff(base::TimePoint aNow) const
{
  std::set<std::string> hosts;
  for (const auto& [host, backoff] : m_backoffs) {
    if (aNow < backoff.m_until) {
      hosts.insert(host);
    }
  }
  return hosts;
}

void PermitClient::Expire(base::TimePoint aNow)
{
  m_issuer.Expire(aNow);
  m_core.m_permits.Expire(aNow);
  std::erase_if(m_backoffs, [&](const auto& aPair) {
    return aPair.second.m_until + m_options.m_backoffMax <= aNow;
  });
}

} // namespace ferrytray::relay
