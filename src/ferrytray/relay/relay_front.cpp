#include "ferrytray/relay/relay_front.hpp"

#include <utility> // for move

#include "ferrytray/relay/exchange.hpp"     // for Exchange
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::relay {

void RelayFront::Handle(net::HttpRequest aRequest, std::shared_ptr<net::HttpReply> aReply)
{
  const base::Result<void> limitsCheck = CheckLimits(aRequest);
  base::Result<CallerRequest> request = m_core.m_format.ReadRequest(std::move(aRequest));
  if (!request) {
    Refuse("", request.error(), aReply);
    return;
  }
  if (!limitsCheck) {
    Refuse(request->m_id, limitsCheck.error(), aReply);
    return;
  }
  const base::Result<RouteMatch> match = MatchRoute(*request);
  if (!match) {
    Refuse(request->m_id, match.error(), aReply);
    return;
  }
  std::make_shared<Exchange>(m_core, std::move(*request), *match, std::move(aReply))->Start();
}

base::Result<void> RelayFront::CheckLimits(const net::HttpRequest& aRequest) const
{
  if (!m_core.m_configuration) {
    return {}; // refused later as not ready
  }
  const fleet::CallerLimits& limits = m_core.m_configuration->Get().m_limits;
  if (aRequest.m_body.size() > limits.m_bodyBytes) {
    return base::Fail(base::ErrorCode::BodyTooLarge,
                      "the body is over " + std::to_string(limits.m_bodyBytes) + " bytes");
  }
  if (aRequest.HeaderBytes() > limits.m_headerBytes) {
    return base::Fail(base::ErrorCode::HeaderTooLarge,
                      "the headers are over " + std::to_string(limits.m_headerBytes) + " bytes");
  }
  return {};
}

base::Result<RouteMatch> RelayFront::MatchRoute(const CallerRequest& aRequest) const
{
  RouteMatch match;
  match.m_configuration = m_core.m_configuration;
  if (!match.m_configuration) {
    return base::Fail(base::ErrorCode::NotReady, "no configuration has been read yet");
  }
  if (!m_core.m_crashesLoaded) {
    return base::Fail(base::ErrorCode::NotReady, "the quarantine records have not been read yet");
  }
  if (m_core.m_refusesNewRequests) {
    return base::Fail(base::ErrorCode::ShuttingDown, "this host is shutting down");
  }
  const bool mayBeStale = m_core.MayBeStale(base::MonotonicNow());
  const auto deny = [mayBeStale](base::ErrorCode aCode, const char* aMessage) {
    return mayBeStale
             ? base::Fail(base::ErrorCode::NotReady, "the configuration may be out of date")
             : base::Fail(aCode, aMessage);
  };
  match.m_route = match.m_configuration->FindRoute(aRequest.m_hostName, aRequest.m_path);
  if (match.m_route == nullptr) {
    return deny(base::ErrorCode::UnknownPath, "no route serves this path");
  }
  const bool needsKey =
    !match.m_route->m_public && !match.m_configuration->Get().m_accounts.empty();
  if (needsKey) {
    match.m_account = match.m_configuration->FindAccount(aRequest.m_apiKey);
    if (match.m_account == nullptr) {
      return deny(base::ErrorCode::UnknownKey, "the key belongs to no client account");
    }
  }
  return match;
}

void RelayFront::Refuse(const std::string& aRequestId,
                        const base::Failure& aFailure,
                        const std::shared_ptr<net::HttpReply>& aReply)
{
  base::Failure failure = aFailure;
  if (base::HttpStatus(failure.m_code) >= 500) {
    failure.m_retryAfter = m_core.m_options.m_retryAfterDelay;
  }
  const GeneratedReply reply = m_core.m_format.WriteFailure(aRequestId, failure);
  if (m_core.m_stopping) {
    aReply->CloseAfterReply();
  }
  aReply->Send(reply.m_status, reply.m_headers, reply.m_body);
  m_core.m_metrics.Count("answers_own_total{code=\"" +
                         std::to_string(static_cast<int>(failure.m_code)) + "\"}");
  const std::uint64_t version =
    m_core.m_configuration ? m_core.m_configuration->Get().m_version : 0;
  telemetry::LogLine("own_answer")
    .Add("request", aRequestId)
    .Add("code", static_cast<int>(failure.m_code))
    .Add("status", reply.m_status)
    .Add("run", base::ToString(failure.m_run))
    .Add("configuration", version)
    .Add("operators_age_ms", m_core.OperatorsAgeMillis(base::MonotonicNow()))
    .Add("why", failure.m_message);
}

} // namespace ferrytray::relay
