// Forwarding to another host that reaches the endpoints, and replies to hosts that have forwarded a
// request to this one.
#include "ferrytray/relay/exchange.hpp"

#include <algorithm> // for max
#include <random>    // for uniform_real_distribution
#include <utility>   // for exchange, move

#include "ferrytray/relay/forwarder.hpp"    // for Forwarder
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::relay {

namespace {

/// Hosts that one request may be forwarded to. A host that declines does so at once.
constexpr std::uint32_t kMaxForwards = 6;

/// Connects that may fail for one request before another host is tried, although this host has
/// reached endpoints lately.
constexpr std::uint32_t kMaxFailedConnects = 2;

/// Whether a different host may be able to send a request that a host has refused with this code.
bool MayHelpElsewhere(base::ErrorCode aCode, std::uint32_t aFailedConnects)
{
  switch (aCode) {
    case base::ErrorCode::NoEndpoint:
    case base::ErrorCode::DeadlineUnreachable:
    case base::ErrorCode::EndpointUnreachable:
      return true;
    case base::ErrorCode::EndpointRefused:
      return aFailedConnects > 0;
    default:
      return false;
  }
}

} // namespace

bool Exchange::ShouldForward()
{
  if (!CanForward()) {
    return false;
  }
  const base::TimePoint now = base::MonotonicNow();
  switch (m_core.m_reachability.State(now)) {
    case routing::Reachability::Unreachable:
      return true;
    case routing::Reachability::NoNewConnections:
      return m_failedConnects > 0;
    case routing::Reachability::Returning:
      if (!m_sendsDirectly) {
        std::uniform_real_distribution<double> fraction(0, 1);
        m_sendsDirectly = fraction(m_core.m_random) < m_core.m_reachability.DirectFraction(now);
      }
      return !*m_sendsDirectly || m_failedConnects > 0;
    case routing::Reachability::Reachable:
      break;
  }
  return m_failedConnects >= kMaxFailedConnects;
}

bool Exchange::TryForward()
{
  if (m_forwards >= kMaxForwards || !ReserveRetry()) {
    return false;
  }
  const std::optional<peers::Peer> host = m_core.m_forwarder->PickHost(m_triedHosts);
  if (!host) {
    return false;
  }
  SendToHost(*host);
  return true;
}

void Exchange::SendToHost(const peers::Peer& aHost)
{
  ForwardedRequest forwarded;
  forwarded.m_request = m_request;
  forwarded.m_request.m_apiKey.clear();
  forwarded.m_request.m_deadline = Remaining();
  forwarded.m_request.m_resumeAfter = m_lastEventId;
  forwarded.m_route = *m_routeMatch.m_route;
  forwarded.m_route.m_maxEndpoints = 1;
  if (m_routeMatch.m_account != nullptr) {
    forwarded.m_account = *m_routeMatch.m_account;
  }
  forwarded.m_service = m_service;
  forwarded.m_excluded = m_triedEndpoints;
  ++m_forwards;
  ++m_sends;
  m_lastHost = aHost.m_name;
  Attempt attempt;
  attempt.m_host = aHost.m_name;
  attempt.m_sentAt = base::MonotonicNow();
  m_attempt = std::move(attempt);
  m_core.m_forwarder->Targets().OnSent(aHost);
  StartAttempt(m_core.m_forwarder->BuildCall(aHost, forwarded));
}

void Exchange::OnForwardHead(int aStatus, net::Headers aHeaders)
{
  ForwardReply reply = TakeForwardReply(aHeaders);
  if (reply.m_failure) {
    m_attempt->m_forwardFailure = std::move(reply.m_failure);
    m_attempt->m_invalidReply = true;
    return;
  }
  m_core.m_forwarder->Targets().OnServed(m_attempt->m_host);
  m_triedEndpoints.insert(reply.m_endpoint);
  m_lastEndpoint = reply.m_endpoint;
  ReplyHead head = m_core.m_format.ReadHead(aStatus, aHeaders);
  m_attempt->m_invalidReply = head.m_requestId != m_request.m_id;
  m_attempt->m_head = std::move(head);
  BeginBody();
}

void Exchange::HandleForwardFailure(const Attempt& aAttempt)
{
  const base::TimePoint now = base::MonotonicNow();
  const ForwardFailure failure = aAttempt.m_forwardFailure.value_or(ForwardFailure{
    { base::ErrorCode::EndpointUnreachable, "", base::RunState::NotRun, {} }, true, false });
  m_core.m_metrics.Count("forwards_total{outcome=\"failed\"}");
  telemetry::LogLine("forward_failed")
    .Add("request", m_request.m_id)
    .Add("host", aAttempt.m_host)
    .Add("code", static_cast<int>(failure.m_failure.m_code))
    .Add("run", base::ToString(failure.m_failure.m_run))
    .Add("declined", failure.m_declined ? "yes" : "no")
    .Add("arrived", failure.m_arrived ? "yes" : "no")
    .Add("took_ms", base::ToMillis(now - aAttempt.m_sentAt));
  if (failure.m_failure.m_run == base::RunState::Unknown) {
    HandleFailure(AttemptOutcome::Broken, aAttempt, "the host that it was forwarded to failed");
    return;
  }
  if (failure.m_arrived) {
    OnArrived();
  } else {
    --m_sends;
  }
  if (failure.m_declined) {
    m_triedHosts.insert(aAttempt.m_host);
    m_core.m_forwarder->Targets().OnFailed(aAttempt.m_host, now);
    Send();
    return;
  }
  if (failure.m_failure.m_code == base::ErrorCode::EndpointsLimited) {
    m_core.m_forwarder->Targets().OnOverloaded(aAttempt.m_host, now);
    m_triedHosts.insert(aAttempt.m_host);
    // The queue of another host may be shorter.
    if (!std::exchange(m_refusedByOverloadedHost, true) && TryForward()) {
      return;
    }
  }
  const char* why = "refused at the host that it was forwarded to";
  if (m_replyStarted) {
    AbortReply(why);
  } else if (m_mayHaveRun) {
    FailUnknown(base::ErrorCode::EndpointBroke, why);
  } else {
    SendFailure({ failure.m_failure.m_code,
                  why,
                  base::RunState::NotRun,
                  std::max(failure.m_failure.m_retryAfter, m_core.m_options.m_retryAfterDelay) });
  }
}

void Exchange::FailUnreachable()
{
  const char* why = "this host reaches no endpoint, and no other host can help";
  if (m_replyStarted) {
    AbortReply(why);
  } else if (m_mayHaveRun) {
    FailUnknown(base::ErrorCode::EndpointBroke, why);
  } else {
    SendFailure({ base::ErrorCode::EndpointUnreachable,
                  why,
                  base::RunState::NotRun,
                  m_core.m_forwarder->RetryAfter(base::MonotonicNow()) });
  }
}

net::Headers Exchange::ReplyHeaders(const Attempt& aAttempt) const
{
  return IsForwarded()
           ? WriteForwardReply(aAttempt.m_head->m_forwardedHeaders, aAttempt.m_incarnation)
           : aAttempt.m_head->m_forwardedHeaders;
}

GeneratedReply Exchange::WriteForwardedFailure(const base::Failure& aFailure) const
{
  constexpr int kUnavailable = 503;
  const bool declined =
    aFailure.m_run == base::RunState::NotRun && MayHelpElsewhere(aFailure.m_code, m_failedConnects);
  return { kUnavailable,
           WriteForwardFailure({ aFailure, declined, m_mayHaveArrived }),
           aFailure.m_message };
}

} // namespace ferrytray::relay
