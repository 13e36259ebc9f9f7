#include "ferrytray/gate/service_exchange.hpp"

#include <algorithm> // for min

#include <nlohmann/json.hpp> // for json

#include "ferrytray/gate/answer_format.hpp"      // for SendError
#include "ferrytray/gate/request_forwarding.hpp" // for ForwardRequest
#include "ferrytray/net/retry_after.hpp"         // for ParseRetryAfter
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine

namespace ferrytray::gate {

namespace {

using base::ErrorCode;
using base::RunState;

constexpr int kUnavailable = 503;
constexpr int kFirstServerError = 500;
constexpr base::Duration kExpectedCallTime = std::chrono::milliseconds(50);
constexpr base::Duration kConnectTimeout = std::chrono::seconds(1);

/// Whether the whole response arrived. Services respond with JSON.
bool IsComplete(const net::ClientOutcome& aOutcome, const std::string& aBody)
{
  return aOutcome.m_end == net::WireEnd::Complete ||
         (aOutcome.m_end == net::WireEnd::Closed && nlohmann::json::accept(aBody));
}

/// Whether the service states explicitly that it did not start the request.
bool ReportsNotStarted(const net::ClientOutcome& aOutcome, const std::string& aBody)
{
  return aOutcome.m_status == kUnavailable &&
         aBody.find("\"x_started\":false") != std::string::npos;
}

} // namespace

ServiceExchange::ServiceExchange(GateCore& aCore,
                                 ServiceCall aCall,
                                 std::shared_ptr<net::HttpReply> aReply)
  : m_core(aCore)
  , m_call(std::move(aCall))
  , m_reply(std::move(aReply))
{
}

ServiceExchange::~ServiceExchange()
{
  EndWork();
}

void ServiceExchange::Start()
{
  m_open = true;
  m_requestKey = quarantine::KeyOf({ m_call.m_account.m_name,
                                     m_call.m_http.m_method,
                                     m_call.m_service.m_name,
                                     m_call.m_http.m_target,
                                     m_call.m_http.m_body });
  m_core.AddOpenWork({ "account " + m_call.m_account.m_name });
  const base::Duration deadline =
    m_call.m_requestOptions.m_deadline.value_or(m_core.m_options.m_defaultDeadline);
  m_deadline = m_call.m_arrival + std::min(deadline, m_core.m_options.m_maxDeadline);
  m_guard = std::make_shared<OnceGuard>(
    m_core, m_call.m_requestOptions, m_call.m_account.m_name, ContentDigest(m_call.m_http));
  const auto self = shared_from_this();
  m_guard->Begin([self](const OnceDecision& aDecision) { self->OnDecision(aDecision); });
}

void ServiceExchange::OnDecision(const OnceDecision& aDecision)
{
  if (std::holds_alternative<RunLocally>(aDecision)) {
    Send();
    return;
  }
  EndWork();
  if (const auto* replay = std::get_if<ReplayResponse>(&aDecision)) {
    m_reply->Send(replay->m_answer.m_status,
                  { { "Content-Type", replay->m_answer.m_contentType },
                    { "X-Request-Id", m_call.m_request },
                    { "Ferrytray-Replayed", "true" } },
                  replay->m_answer.m_body);
  } else if (const auto* forwardTo = std::get_if<ForwardTo>(&aDecision)) {
    ForwardRequest(m_core, forwardTo->m_address, m_call.m_http, m_call.m_request, m_reply);
  } else {
    SendError(*m_reply, std::get<base::Failure>(aDecision), m_call.m_request);
  }
}

bool ServiceExchange::Idempotent() const
{
  const bool guarded = m_guard->StoresResponse();
  return m_call.m_requestOptions.m_idempotent.value_or(m_call.m_service.m_idempotent && !guarded);
}

void ServiceExchange::RecordCrashOutcome(const net::ClientOutcome& aOutcome, bool aComplete)
{
  if (aComplete) {
    m_core.m_crashes.OnReply(m_endpointIncarnation, m_sentAt);
    if (aOutcome.m_status < kFirstServerError && aOutcome.m_end == net::WireEnd::Closed) {
      m_core.m_crashes.OnClosedResponse(m_requestKey, m_endpointIncarnation);
    } else if (aOutcome.m_status < kFirstServerError) {
      m_core.m_crashes.OnCompleteResponse(m_requestKey);
    }
  } else if (aOutcome.m_end != net::WireEnd::NotSent && !aOutcome.m_timedOut) {
    m_core.m_crashes.OnConnectionLost(m_requestKey, m_endpointIncarnation, m_sentAt);
  }
}

void ServiceExchange::Send()
{
  const base::TimePoint now = base::MonotonicNow();
  if (m_core.m_crashes.IsQuarantined(m_requestKey)) {
    Fail(ErrorCode::RequestQuarantined,
         "identical requests have crashed the endpoints that ran them",
         m_mayHaveRun ? RunState::Unknown : RunState::NotRun);
    return;
  }
  const wire::EndpointStatus* endpoint =
    m_core.m_view.PickService(m_call.m_service.m_name, m_tried, now);
  if (endpoint == nullptr) {
    const auto backoffEnd = m_core.m_view.EarliestBackoffEnd(m_call.m_service.m_name, now);
    Fail(backoffEnd ? ErrorCode::EndpointsInBackoff : ErrorCode::NoEndpoint,
         "the service has no usable endpoint",
         m_mayHaveRun ? RunState::Unknown : RunState::NotRun,
         backoffEnd ? *backoffEnd - now : kRetryAfter);
    return;
  }
  const std::string name = endpoint->m_host.m_name;
  m_endpointIncarnation = name + "/" + endpoint->m_host.m_incarnation;
  m_sentAt = now;
  telemetry::LogLine("route_service")
    .Add("request", m_call.m_request)
    .Add("account", m_call.m_account.m_name)
    .Add("service", m_call.m_service.m_name)
    .Add("endpoint", name)
    .Add("attempt", ++m_attempts);
  net::ClientRequest request;
  request.m_method = m_call.m_http.m_method;
  request.m_url = "http://" + endpoint->m_host.m_address + m_call.m_http.m_path +
                  (m_call.m_http.m_query.empty() ? "" : "?" + m_call.m_http.m_query);
  request.m_headers = { { "X-Request-Id", m_call.m_request },
                        { "X-Client-Account", m_call.m_account.m_name },
                        { "Content-Type", std::string(m_call.m_http.Header("Content-Type")) } };
  request.m_body = m_call.m_http.m_body;
  request.m_timeout = std::max<base::Duration>(m_deadline - now, std::chrono::milliseconds(1));
  request.m_connectTimeout = kConnectTimeout;
  m_core.m_view.BeginService(name);
  const auto self = shared_from_this();
  m_core.m_http->Fetch(std::move(request),
                       [self, name](const net::ClientOutcome& aOutcome, const std::string& aBody) {
                         self->OnReply(name, aOutcome, aBody);
                       });
}

void ServiceExchange::OnReply(const std::string& aEndpoint,
                              const net::ClientOutcome& aOutcome,
                              const std::string& aBody)
{
  m_core.m_view.EndService(aEndpoint);
  const bool complete = IsComplete(aOutcome, aBody);
  RecordCrashOutcome(aOutcome, complete);
  const bool refused = complete && ReportsNotStarted(aOutcome, aBody);
  if (complete && !refused) {
    Answer(aOutcome, aBody);
    return;
  }
  if (const auto delay = net::ParseRetryAfter(aOutcome.m_retryAfter); refused && delay) {
    m_core.m_view.OnBackoffRequested(aEndpoint, *delay, base::MonotonicNow());
  } else if (refused) {
    m_core.m_view.MarkLeaving(aEndpoint);
  }
  const bool notSent = aOutcome.m_end == net::WireEnd::NotSent;
  const RunState run = refused || notSent ? RunState::NotRun : RunState::Unknown;
  m_mayHaveRun = m_mayHaveRun || run == RunState::Unknown;
  if (RetryIfAllowed(aEndpoint, run)) {
    return;
  }
  const RunState overall = m_mayHaveRun ? RunState::Unknown : RunState::NotRun;
  if (aOutcome.m_timedOut && !notSent) {
    Fail(ErrorCode::DeadlineExceeded, "the service did not respond in time", overall);
  } else if (notSent) {
    Fail(ErrorCode::EndpointUnreachable, "the service is unreachable", overall);
  } else {
    Fail(refused ? ErrorCode::EndpointRefused : ErrorCode::EndpointBroke,
         "the service did not complete the response",
         overall);
  }
}

bool ServiceExchange::RetryIfAllowed(const std::string& aEndpoint, RunState aRun)
{
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_view.OnFailure(aEndpoint, now);
  m_tried.insert(aEndpoint);
  const limits::FailedAttempt failed{
    aRun, Idempotent(), m_attempts, m_deadline, kExpectedCallTime
  };
  if (!m_core.m_retries.TryRetry(failed, now)) {
    return false;
  }
  m_core.m_metrics.Count("retries_total");
  Send();
  return true;
}

void ServiceExchange::Answer(const net::ClientOutcome& aOutcome, const std::string& aBody)
{
  m_core.m_retries.OnSuccess();
  m_core.m_metrics.Count("requests_total{kind=\"service\",result=\"ok\"}");
  m_guard->Finish({ aOutcome.m_status, "application/json", aBody });
  EndWork();
  m_reply->Send(aOutcome.m_status,
                { { "Content-Type", "application/json" }, { "X-Request-Id", m_call.m_request } },
                aBody);
}

void ServiceExchange::Fail(ErrorCode aCode,
                           const std::string& aMessage,
                           RunState aRun,
                           base::Duration aRetryAfter)
{
  m_core.m_metrics.Count("requests_total{kind=\"service\",result=\"error\"}");
  m_guard->Fail(aRun);
  EndWork();
  SendError(*m_reply, { aCode, aMessage, aRun, aRetryAfter }, m_call.m_request);
}

void ServiceExchange::EndWork()
{
  if (m_open) {
    m_open = false;
    m_core.RemoveOpenWork({ "account " + m_call.m_account.m_name });
    m_core.m_limiter.Release(m_call.m_account.m_name);
  }
}

} // namespace ferrytray::gate
