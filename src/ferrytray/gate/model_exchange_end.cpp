// ModelExchange: outcome of an attempt, retries, and the end of the request by failure, deadline or
// disconnect.
#include "ferrytray/gate/model_exchange.hpp"

#include <algorithm> // for min, max

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

using base::ErrorCode;
using base::RunState;

void ModelExchange::OnEnd(const AttemptResult& aResult)
{
  m_attempt.reset();
  if (m_open) {
    std::visit([this](const auto& aKind) { Handle(aKind); }, aResult);
  }
}

void ModelExchange::Handle(const AttemptComplete& aResult)
{
  m_core.m_crashes.OnReply(EngineIncarnation(), m_sentAt);
  m_core.m_crashes.OnCompleteResponse(m_requestKey);
  m_core.m_retries.OnSuccess();
  m_core.m_metrics.Count("requests_total{kind=\"model\",result=\"ok\"}");
  RecordUsage(aResult.m_usage);
  m_guard->Finish(m_answer.Complete(aResult.m_usage));
  EndWork();
}

void ModelExchange::RecordUsage(const TokenUsage& aUsage)
{
  m_core.m_metrics.Count("prompt_tokens_total{from=\"memory\"}", aUsage.m_cached);
  m_core.m_metrics.Count("prompt_tokens_total{from=\"store\"}", aUsage.m_restored);
  m_core.m_metrics.Count("prompt_tokens_total{from=\"recompute\"}", aUsage.m_recomputed);
  if (m_blocks.empty()) {
    return;
  }
  const std::uint32_t cachedBlocks = aUsage.m_cached / m_call.m_fleet.m_blockTokens;
  if (cachedBlocks < m_workerCachedBlocks) {
    m_core.m_view.Hints().OnCachedPrefixReported(m_worker, m_blocks, cachedBlocks);
  }
  m_core.m_view.Hints().OnRunCompleted(m_worker, m_blocks);
  const routing::RequestShape shape = Shape();
  const double newBlocks = static_cast<double>(
    m_blocks.size() - std::min<std::size_t>(m_blocks.size(), m_store.m_view.m_storedBlocks));
  m_services.m_exporter.ExportIfWorthwhile(
    { m_call.m_request,
      m_call.m_account.m_name,
      m_workerAddress,
      m_store,
      m_blocks,
      newBlocks * shape.m_bytesPerBlock,
      newBlocks * shape.m_tokensPerBlock / m_workerTokensPerSecond });
}

void ModelExchange::Handle(const AttemptNotStarted& aResult)
{
  if (aResult.m_leaving) {
    m_core.m_view.MarkLeaving(m_worker);
    m_core.m_keeper->ReportNow();
  }
  if (aResult.m_retryAfter) {
    m_core.m_view.OnBackoffRequested(m_worker, *aResult.m_retryAfter, base::MonotonicNow());
  }
  if (!RetryIfAllowed(RunState::NotRun)) {
    Fail(ErrorCode::EndpointRefused,
         "the worker did not start the request: " + aResult.m_message,
         kRetryAfter);
  }
}

void ModelExchange::Handle(const AttemptVersionMismatch&)
{
  m_mayHaveRun = true;
  if (!RetryIfAllowed(RunState::Unknown)) {
    Fail(ErrorCode::VersionMismatch,
         "the worker ran a different weight version; its response was discarded",
         kRetryAfter);
  }
}

void ModelExchange::Handle(const AttemptInterrupted& aResult)
{
  m_mayHaveRun = true;
  if (aResult.m_connectionClosed) {
    m_core.m_crashes.OnConnectionLost(m_requestKey, EngineIncarnation(), m_sentAt);
  }
  // A second run may generate different text, so a partly delivered response cannot be continued.
  const bool delivered = m_answer.HasText();
  if (delivered || !RetryIfAllowed(RunState::Unknown)) {
    Fail(ErrorCode::EndpointBroke, aResult.m_message, kRetryAfter);
  }
}

bool ModelExchange::RetryIfAllowed(RunState aRun)
{
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_view.OnFailure(m_worker, now);
  m_tried.insert(m_worker);
  const limits::FailedAttempt failed{
    aRun, Idempotent(), m_attempts, m_deadline, m_choice.m_plan.m_firstToken
  };
  if (!m_core.m_retries.TryRetry(failed, now)) {
    return false;
  }
  m_core.m_metrics.Count("retries_total");
  Route();
  return true;
}

bool ModelExchange::Idempotent() const
{
  return m_call.m_requestOptions.m_idempotent.value_or(!m_guard->StoresResponse());
}

RunState ModelExchange::OverallRunState() const
{
  return m_mayHaveRun || m_attempt ? RunState::Unknown : RunState::NotRun;
}

void ModelExchange::Fail(ErrorCode aCode, const std::string& aMessage, base::Duration aRetryAfter)
{
  const base::Failure failure{ aCode, aMessage, OverallRunState(), aRetryAfter };
  telemetry::LogLine("request_failed")
    .Add("request", m_call.m_request)
    .Add("code", static_cast<int>(aCode))
    .Add("run", base::ToString(failure.m_run))
    .Add("why", aMessage);
  m_core.m_metrics.Count("requests_total{kind=\"model\",result=\"error\"}");
  m_guard->Fail(failure.m_run);
  m_answer.Fail(failure);
  EndWork();
}

void ModelExchange::OnCallerDisconnected()
{
  if (!m_open || m_guard->StoresResponse()) {
    return;
  }
  m_core.m_metrics.Count("callers_gone_total");
  if (m_attempt) {
    m_attempt->Cancel();
    m_mayHaveRun = true;
  }
  m_guard->Fail(OverallRunState());
  EndWork();
}

void ModelExchange::OnDeadline()
{
  if (!m_open) {
    return;
  }
  const RunState run = OverallRunState();
  if (m_attempt) {
    m_attempt->Cancel();
  }
  m_mayHaveRun = run == RunState::Unknown;
  Fail(ErrorCode::DeadlineExceeded, "the deadline was exceeded");
}

void ModelExchange::EndWork()
{
  if (!m_open) {
    return;
  }
  m_open = false;
  m_deadlineTimer.reset();
  if (m_queuedId != 0) {
    m_services.m_queues.Dequeue(m_call.m_fleet.m_name, m_queuedId);
  }
  m_core.RemoveOpenWork({ "fleet " + m_call.m_fleet.m_name, "account " + m_call.m_account.m_name });
  m_core.m_limiter.Release(m_call.m_account.m_name);
}

} // namespace ferrytray::gate
