#include "ferrytray/gate/engine_attempt.hpp"

#include <utility> // for move

#include "ferrytray/net/retry_after.hpp"    // for ParseRetryAfter
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kMaxResumes = 3;
constexpr std::size_t kMaxReorderBytes = 1U << 20U;
constexpr base::Duration kResumeDelay = std::chrono::milliseconds(50);
constexpr base::Duration kConnectTimeout = std::chrono::seconds(1);
constexpr once::AttemptId kThisAttempt = 1;

} // namespace

EngineAttempt::EngineAttempt(GateCore& aCore, AttemptRequest aRequest, Handlers aHandlers)
  : m_core(aCore)
  , m_request(std::move(aRequest))
  , m_handlers(std::move(aHandlers))
  , m_assembler(kMaxReorderBytes)
{
  m_assembler.Begin(kThisAttempt);
}

void EngineAttempt::Start()
{
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + m_request.m_engine + "/v1/completions";
  request.m_headers = { { "Content-Type", "application/json" } };
  request.m_body = std::exchange(m_request.m_body, {});
  Send(std::move(request));
}

void EngineAttempt::Send(net::ClientRequest aRequest)
{
  aRequest.m_timeout = m_request.m_timeout;
  aRequest.m_connectTimeout = kConnectTimeout;
  m_status = 0;
  m_errorBody.clear();
  m_parser = EngineEventParser();
  const auto self = shared_from_this();
  net::ClientEvents events;
  events.m_onStatus = [self](int aStatus) { self->m_status = aStatus; };
  events.m_onData = [self](std::string_view aBytes) { self->OnBytes(aBytes); };
  events.m_onEnd = [self](const net::ClientOutcome& aOutcome) { self->OnTransferEnd(aOutcome); };
  m_call = m_core.m_http->Start(std::move(aRequest), std::move(events));
}

void EngineAttempt::OnBytes(std::string_view aBytes)
{
  if (m_ended) {
    return;
  }
  if (m_status != kOk) {
    m_errorBody.append(aBytes);
    return;
  }
  for (const EngineEvent& event : m_parser.Feed(aBytes)) {
    if (!m_ended) {
      std::visit([this](const auto& aEvent) { OnEvent(aEvent); }, event);
    }
  }
}

void EngineAttempt::OnEvent(const EngineChunk& aChunk)
{
  if (aChunk.m_version != m_request.m_version) {
    const Handlers handlers = m_handlers;
    Cancel();
    m_handlers = handlers;
    m_ended = false;
    End(AttemptVersionMismatch{});
    return;
  }
  if (aChunk.m_last) {
    m_usage = aChunk.m_usage;
  }
  const std::string ready =
    m_assembler.Accept({ kThisAttempt, aChunk.m_offset, aChunk.m_text, aChunk.m_last });
  if (!ready.empty()) {
    m_handlers.m_onText(ready);
  }
  if (!m_ended && m_assembler.IsComplete()) {
    End(AttemptComplete{ m_usage });
  }
}

void EngineAttempt::OnEvent(const EngineError& aError)
{
  if (aError.m_started) {
    End(AttemptInterrupted{ aError.m_message, false });
  } else {
    End(AttemptNotStarted{ aError.m_message, false, {} });
  }
}

void EngineAttempt::OnTransferEnd(const net::ClientOutcome& aOutcome)
{
  m_call = 0;
  if (m_ended) {
    return;
  }
  const bool firstTransfer = m_resumeCount == 0;
  if (firstTransfer && aOutcome.m_end == net::WireEnd::NotSent) {
    End(AttemptNotStarted{ aOutcome.m_detail, false, {} });
    return;
  }
  const bool rejected = net::EndedWithoutFailure(aOutcome) && aOutcome.m_status != kOk;
  if (rejected && firstTransfer) {
    const EngineError error = ParseEngineError(m_errorBody);
    if (error.m_started) {
      End(AttemptInterrupted{ error.m_message, false });
    } else {
      const auto retryAfter = net::ParseRetryAfter(aOutcome.m_retryAfter);
      const bool leaving = aOutcome.m_status == kUnavailable && !retryAfter;
      End(AttemptNotStarted{ error.m_message, leaving, retryAfter });
    }
    return;
  }
  if (rejected || m_resumeCount >= kMaxResumes) {
    End(AttemptInterrupted{ "the engine's stream was interrupted: " + aOutcome.m_detail,
                            !rejected && !aOutcome.m_timedOut });
    return;
  }
  ++m_resumeCount;
  const auto self = shared_from_this();
  m_resumeTimer = m_core.m_loop.After(kResumeDelay * m_resumeCount, [self] { self->Resume(); });
}

void EngineAttempt::Resume()
{
  if (m_ended) {
    return;
  }
  telemetry::LogLine("stream_resume")
    .Add("attempt", m_request.m_attempt)
    .Add("engine", m_request.m_engine)
    .Add("offset", m_assembler.NextOffset());
  m_core.m_metrics.Count("stream_resumes_total");
  net::ClientRequest request;
  request.m_url = "http://" + m_request.m_engine + "/v1/streams/" + m_request.m_attempt +
                  "?offset=" + std::to_string(m_assembler.NextOffset());
  Send(std::move(request));
}

void EngineAttempt::Cancel()
{
  if (m_ended) {
    return;
  }
  m_ended = true;
  // The handlers own the exchange, which owns this attempt. Freed later: one may be running.
  m_core.m_loop.Post([handlers = std::exchange(m_handlers, {})] {});
  if (m_call != 0) {
    m_core.m_http->Cancel(m_call);
  }
  net::ClientRequest request;
  request.m_method = "DELETE";
  request.m_url = "http://" + m_request.m_engine + "/v1/streams/" + m_request.m_attempt;
  request.m_timeout = kConnectTimeout;
  m_core.m_http->Fetch(std::move(request), [](const auto&, const auto&) {});
}

void EngineAttempt::End(const AttemptResult& aResult)
{
  m_ended = true;
  const auto onEnd = std::exchange(m_handlers.m_onEnd, nullptr);
  m_handlers.m_onText = nullptr;
  if (onEnd) {
    onEnd(aResult);
  }
}

} // namespace ferrytray::gate
