// Processing of an endpoint's reply: the head, the endpoint state derived from it, the body or the
// events.
#include "ferrytray/relay/exchange.hpp"

#include <utility> // for move

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/relay/crash_reporter.hpp"    // for CrashReporter
#include "ferrytray/relay/endpoint_signals.hpp"  // for RecordBackoff, RecordLeaving
#include "ferrytray/relay/prompt_dispatcher.hpp" // for PromptDispatcher
#include "ferrytray/relay/request_limits.hpp"    // for RecordRequestLimit
#include "ferrytray/relay/slot_client.hpp"       // for RecordBrittleness
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine

namespace ferrytray::relay {

void Exchange::OnHead(int aStatus, const net::Headers& aHeaders)
{
  if (!m_attempt) {
    return;
  }
  if (!m_attempt->m_host.empty()) {
    OnForwardHead(aStatus, aHeaders);
    return;
  }
  RecordAlive(m_attempt->m_incarnation);
  ReplyHead head = m_core.m_format.ReadHead(aStatus, aHeaders);
  UpdateEndpointState(head);
  m_attempt->m_head = std::move(head);
  BeginBody();
}

void Exchange::RecordAlive(const std::string& aIncarnation)
{
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_reachability.OnAnswered(now);
  if (m_core.m_crashReporter != nullptr) {
    m_core.m_crashReporter->OnEndpointAlive(peers::KeyOf(aIncarnation), now);
  }
}

void Exchange::BeginBody()
{
  const net::Headers& headers = m_attempt->m_head->m_forwardedHeaders;
  const std::size_t maxBytes = m_core.m_options.m_maxReplyBytes;
  if (m_routeMatch.m_route->m_streaming && IsSuccess(*m_attempt) && MayBeEventStream(headers)) {
    m_attempt->m_body = ReplyBody::EventStream(m_lastEventId, maxBytes);
    return;
  }
  m_attempt->m_body = ReplyBody::Plain(headers, maxBytes);
  if (IsSuccess(*m_attempt) && m_replyStarted) {
    m_attempt->m_invalidReply = true; // does not continue the events that the caller has
  }
}

void Exchange::UpdateEndpointState(const ReplyHead& aHead)
{
  m_core.m_endpointTracker.OnReply(m_attempt->m_incarnation, base::MonotonicNow());
  if (aHead.m_idleTimeout) {
    m_core.m_endpointTracker.OnIdleTimeout(m_attempt->m_incarnation, *aHead.m_idleTimeout);
  }
  if (m_request.m_prompt && aHead.m_weights) {
    m_core.m_directory.NoteProvenWeights(
      m_attempt->m_incarnation, m_request.m_prompt->m_model, *aHead.m_weights);
  }
  const bool weightMismatch =
    aHead.m_misdirected && m_attempt->m_weights && !aHead.m_weights &&
    (aHead.m_endpointId.empty() || aHead.m_endpointId == m_attempt->m_endpointId);
  if (weightMismatch) {
    const std::string& model = m_request.m_prompt->m_model;
    const auto desired = m_core.m_desiredWeights.find(model);
    const fleet::WeightVersion newest =
      desired == m_core.m_desiredWeights.end() ? 0 : desired->second;
    m_core.m_directory.NoteWeightMismatch(
      m_attempt->m_incarnation, model, *m_attempt->m_weights, newest);
  }
  const bool replaced = aHead.m_misdirected && !aHead.m_endpointId.empty() &&
                        aHead.m_endpointId != m_attempt->m_endpointId;
  if (!replaced) {
    const base::TimePoint now = base::MonotonicNow();
    if (m_core.m_crashReporter != nullptr) {
      m_core.m_crashReporter->OnReply(m_attempt->m_incarnation, m_attempt->m_sentAt, now);
    } else {
      m_core.m_crashes.OnEndpointReply(peers::KeyOf(m_attempt->m_incarnation), m_attempt->m_sentAt);
    }
    if (const fleet::Endpoint* endpoint = m_core.m_directory.Find(m_attempt->m_incarnation)) {
      RecordBrittleness(m_core, *endpoint, aHead, m_attempt->m_sentAt, now);
    }
    RecordRequestLimit(m_core, m_attempt->m_incarnation, aHead, m_attempt->m_sentAt, now);
    RecordLeaving(m_core, m_attempt->m_incarnation, aHead, now);
    RecordBackoff(m_core, m_attempt->m_incarnation, aHead, m_attempt->m_sentAt, now);
  }
  if (replaced) {
    telemetry::LogLine("endpoint_gone")
      .Add("endpoint", m_attempt->m_incarnation)
      .Add("address_now_of", aHead.m_endpointId);
    m_core.m_directory.MarkGone(m_attempt->m_incarnation);
    if (m_core.m_onEndpointReplaced) {
      m_core.m_onEndpointReplaced(m_attempt->m_incarnation);
    }
  }
}

bool Exchange::IsSuccess(const Attempt& aAttempt) const
{
  return aAttempt.m_head && !aAttempt.m_invalidReply && aAttempt.m_head->m_signed &&
         aAttempt.m_head->Succeeds();
}

void Exchange::OnData(std::string_view aPiece)
{
  if (!m_attempt || m_attempt->m_invalidReply) {
    return;
  }
  net::EventSplitter::CompleteEvents events = m_attempt->m_body.Append(aPiece);
  m_forwardedWithoutId = events.m_endsWithoutId || (m_forwardedWithoutId && !events.m_lastId);
  m_lastEventId = events.m_lastId ? events.m_lastId : m_lastEventId;
  ForwardEvents(std::move(events.m_bytes));
  if (m_attempt->m_body.IsTooLarge()) {
    AbandonReply();
  }
}

void Exchange::AbandonReply()
{
  m_core.m_client.Cancel(m_attempt->m_callId);
  Attempt attempt = std::move(*m_attempt);
  m_attempt.reset();
  attempt.m_invalidReply = true;
  m_lastFraming.reset();
  ReleaseAttempt(attempt, false);
  HandleFailure(AttemptOutcome::Broken, std::move(attempt), "the reply exceeds its size limit");
}

void Exchange::RecordFraming(const Attempt& aAttempt, const net::ClientOutcome& aOutcome)
{
  m_lastPartialEventBytes = aAttempt.m_body.IsEventStream() ? aAttempt.m_body.Held().size() : 0;
  m_lastFraming.reset();
  if (aAttempt.m_head) {
    m_lastFraming = aOutcome.m_framing;
    m_core.m_metrics.Count("replies_total{framing=\"" +
                           std::string(net::ToString(aOutcome.m_framing)) + "\"}");
  }
}

void Exchange::ForwardEvents(std::string aEvents)
{
  if (aEvents.empty()) {
    return;
  }
  if (!m_replyStarted) {
    m_replyStarted = true;
    m_firstEventAt = base::MonotonicNow();
    if (m_assigned.m_engineIdle && m_sends == 1 &&
        m_attempt->m_incarnation == m_assigned.m_engine) {
      m_core.m_dispatcher->OnFirstEvent(m_assigned.m_prefillTokens,
                                        *m_firstEventAt - m_attempt->m_sentAt);
    }
    RecordAnswerStarted();
    if (m_core.m_stopping) {
      m_reply->CloseAfterReply();
    }
    m_core.m_metrics.Observe("first_event_seconds",
                             base::Seconds(base::MonotonicNow() - m_arrivedAt));
    m_reply->OnWritten([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnReplyWritten();
      }
    });
    m_reply->StartStream(m_attempt->m_head->m_status, ReplyHeaders(*m_attempt));
  }
  m_reply->Write(std::move(aEvents));
  PauseIfUnread();
}

bool Exchange::IsComplete(const Attempt& aAttempt, const net::ClientOutcome& aOutcome)
{
  // Hosts send a length or chunks.
  const bool closedByHost = !aAttempt.m_host.empty() && aOutcome.m_end == net::WireEnd::Closed;
  return !closedByHost && aAttempt.m_body.IsComplete(aOutcome.m_end);
}

AttemptOutcome Exchange::ClassifyOutcome(const Attempt& aAttempt,
                                         const net::ClientOutcome& aOutcome) const
{
  if (aOutcome.m_end == net::WireEnd::NotSent) {
    return AttemptOutcome::NotSent;
  }
  const bool ours = aAttempt.m_head && !aAttempt.m_invalidReply;
  if (ours && aAttempt.m_head->m_notRun) {
    return AttemptOutcome::NotRun;
  }
  const bool complete = ours && IsComplete(aAttempt, aOutcome);
  return complete && !aAttempt.m_head->Succeeds() ? AttemptOutcome::ErrorReply
                                                  : AttemptOutcome::Broken;
}

} // namespace ferrytray::relay
