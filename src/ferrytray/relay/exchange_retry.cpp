// Retries of failed attempts, and the retry budget that they need.
#include "ferrytray/relay/exchange.hpp"

#include <algorithm> // for min
#include <span>      // for span
#include <utility>   // for move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::relay {

namespace {

/// Ids of the prompt's parts in order, for the log.
std::string PartIds(const CallerRequest& aRequest)
{
  constexpr std::size_t kMaxLogged = 16; // a caller may name hundreds
  std::string ids;
  if (aRequest.m_prompt) {
    for (const PromptPart& part :
         std::span(aRequest.m_prompt->m_parts)
           .first(std::min(kMaxLogged, aRequest.m_prompt->m_parts.size()))) {
      ids += (ids.empty() ? "" : ",") + part.m_id;
    }
  }
  return ids;
}

} // namespace

bool Exchange::ReserveRetry()
{
  if (m_mayHaveArrived && !m_retryReserved) {
    m_retryReserved = m_core.m_retryWindow.TryRetry(m_service, base::MonotonicNow());
  }
  return !m_mayHaveArrived || m_retryReserved;
}

void Exchange::OnArrived()
{
  m_mayHaveArrived = true;
  m_retryReserved = false;
}

void Exchange::FailWithoutRetry()
{
  const char* why = "the retry budget of the service is exhausted";
  m_core.m_metrics.Count("failed_attempts_total{service=\"" + m_service + "\",retry=\"" +
                         std::string(ToString(RetryVerdict::BudgetExhausted)) + "\"}");
  if (m_replyStarted) {
    AbortReply(why);
  } else if (m_mayHaveRun) {
    FailUnknown(base::ErrorCode::EndpointBroke, why);
  } else {
    Refuse(base::ErrorCode::EndpointRefused, why);
  }
}

RetryVerdict Exchange::DecideRetry(const RetryContext& aContext)
{
  const RetryVerdict verdict = CheckRetry(aContext, m_core.m_options.m_attempts);
  if (verdict != RetryVerdict::Allowed) {
    return verdict;
  }
  // A probe that no endpoint received may be sent again; one that arrived may not.
  const bool arrived = aContext.m_outcome != AttemptOutcome::NotSent;
  if (IsBlockedByQuarantine() || (arrived && !m_probedContent.empty())) {
    return RetryVerdict::Quarantined;
  }
  return ReserveRetry() ? RetryVerdict::Allowed : RetryVerdict::BudgetExhausted;
}

void Exchange::LogFailedAttempt(AttemptOutcome aOutcome,
                                const Attempt& aAttempt,
                                const RetryContext& aContext,
                                RetryVerdict aVerdict,
                                std::string_view aDetail)
{
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_metrics.Count("failed_attempts_total{service=\"" + m_service + "\",retry=\"" +
                         std::string(ToString(aVerdict)) + "\"}");
  telemetry::LogLine("attempt_failed")
    .Add("request", m_request.m_id)
    .Add("request_key", base::ToHex(m_content.Request()))
    .Add("parts", PartIds(m_request))
    .Add("service", m_service)
    .Add("endpoint", aAttempt.m_incarnation)
    .Add("host", aAttempt.m_host)
    .Add("end", ToString(aOutcome))
    .Add("status", aAttempt.m_head ? aAttempt.m_head->m_status : 0)
    .Add("detail", aDetail)
    .Add("framing", m_lastFraming ? net::ToString(*m_lastFraming) : "-")
    .Add("partial_event_bytes", m_lastPartialEventBytes)
    .Add("weights_named", aAttempt.m_weights.value_or(0))
    .Add("weights_told", aAttempt.m_head ? aAttempt.m_head->m_weights.value_or(0) : 0)
    .Add("sends", m_sends)
    .Add("took_ms", base::ToMillis(now - aAttempt.m_sentAt))
    .Add("left_ms", base::ToMillis(aContext.m_remaining))
    .Add("retry", ToString(aVerdict))
    .Add("retries_left", m_core.m_retryWindow.Remaining(m_service, now));
}

} // namespace ferrytray::relay
