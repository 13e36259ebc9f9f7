#include "ferrytray/relay/forward_receiver.hpp"

#include <utility> // for move

#include "ferrytray/relay/exchange.hpp"     // for Exchange
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::relay {

namespace {

constexpr int kUnavailable = 503;

} // namespace

const char* ForwardReceiver::ReasonToDecline() const
{
  if (!m_core.m_configuration || !m_core.m_crashesLoaded) {
    return "not ready";
  }
  if (m_core.m_stopping) {
    return "shutting down";
  }
  if (m_core.m_openForwards >= m_options.m_maxOpen) {
    return "too many forwarded requests";
  }
  switch (m_core.m_reachability.State(base::MonotonicNow())) {
    case routing::Reachability::Unreachable:
    case routing::Reachability::NoNewConnections:
      return "endpoints unreachable";
    case routing::Reachability::Reachable:
    case routing::Reachability::Returning:
      break;
  }
  return nullptr;
}

void ForwardReceiver::Handle(const net::HttpRequest& aRequest,
                             std::shared_ptr<net::HttpReply> aReply)
{
  if (const char* why = ReasonToDecline()) {
    Decline(aReply, why);
    return;
  }
  base::Result<ForwardedRequest> decoded = DecodeForwardedRequest(aRequest.m_body);
  if (!decoded) {
    Decline(aReply, decoded.error().m_message);
    return;
  }
  const auto forwarded = std::make_shared<ForwardedRequest>(std::move(*decoded));
  RouteMatch match;
  match.m_configuration = m_core.m_configuration;
  match.m_route = &forwarded->m_route;
  match.m_account = forwarded->m_account ? &*forwarded->m_account : nullptr;
  match.m_forwarded = forwarded;
  CallerRequest request = std::move(forwarded->m_request);
  std::make_shared<Exchange>(m_core, std::move(request), std::move(match), std::move(aReply))
    ->Start();
}

void ForwardReceiver::Decline(const std::shared_ptr<net::HttpReply>& aReply,
                              const std::string& aWhy)
{
  m_core.m_metrics.Count("forwarded_requests_total{outcome=\"declined\"}");
  telemetry::LogLine("forward_declined").Add("why", aWhy);
  const base::Failure failure{ base::ErrorCode::NotReady, aWhy, base::RunState::NotRun, {} };
  aReply->Send(kUnavailable, WriteForwardFailure({ failure, true, false }), aWhy);
}

} // namespace ferrytray::relay
