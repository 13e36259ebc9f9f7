// What an endpoint's reply brings: its head, what that tells of the endpoint, its body or events.
#include "ferrytray/relay/exchange.hpp"

#include <utility> // for move

#include "ferrytray/peers/replacement_table.hpp" // for KeyOf
#include "ferrytray/relay/prompt_dispatcher.hpp" // for PromptDispatcher
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine

namespace ferrytray::relay {

void Exchange::OnHead(int aStatus, const net::Headers& aHeaders)
{
  if (!m_attempt) {
    return;
  }
  ReplyHead head = m_core.m_format.ReadHead(aStatus, aHeaders);
  m_attempt->m_foreign = head.m_requestId != m_request.m_id;
  if (!m_attempt->m_foreign) {
    Learn(head);
  }
  m_attempt->m_head = std::move(head);
}

void Exchange::Learn(const ReplyHead& aHead)
{
  m_core.m_board.OnReply(m_attempt->m_endpoint, base::MonotonicNow());
  if (aHead.m_idleTimeout) {
    m_core.m_board.OnIdleTimeout(m_attempt->m_endpoint, *aHead.m_idleTimeout);
  }
  if (m_request.m_prompt && aHead.m_weights) {
    m_core.m_directory.NoteProvenWeights(
      m_attempt->m_endpoint, m_request.m_prompt->m_model, *aHead.m_weights);
  }
  const bool otherWeights =
    aHead.m_misdirected && m_attempt->m_weights && !aHead.m_weights &&
    (aHead.m_endpointId.empty() || aHead.m_endpointId == m_attempt->m_endpointId);
  if (otherWeights) {
    const std::string& model = m_request.m_prompt->m_model;
    const auto wanted = m_core.m_wanted.find(model);
    const fleet::WeightVersion newest = wanted == m_core.m_wanted.end() ? 0 : wanted->second;
    m_core.m_directory.NoteWeightMismatch(
      m_attempt->m_endpoint, model, *m_attempt->m_weights, newest);
  }
  const bool replaced = aHead.m_misdirected && !aHead.m_endpointId.empty() &&
                        aHead.m_endpointId != m_attempt->m_endpointId;
  if (!replaced) {
    m_core.m_crashes.OnEndpointReply(peers::KeyOf(m_attempt->m_endpoint), m_attempt->m_sentAt);
  }
  if (replaced) {
    telemetry::LogLine("endpoint_gone")
      .Add("endpoint", m_attempt->m_endpoint)
      .Add("address_now_of", aHead.m_endpointId);
    m_core.m_directory.MarkGone(m_attempt->m_endpoint);
    if (m_core.m_onReplaced) {
      m_core.m_onReplaced(m_attempt->m_endpoint);
    }
  }
}

bool Exchange::IsSuccess(const Attempt& aAttempt) const
{
  return aAttempt.m_head && !aAttempt.m_foreign && aAttempt.m_head->m_signed &&
         aAttempt.m_head->Succeeds();
}

void Exchange::OnData(std::string_view aPiece)
{
  if (!m_attempt || m_attempt->m_foreign) {
    return;
  }
  if (m_admitted.m_route->m_streaming && IsSuccess(*m_attempt)) {
    EventSplitter::Whole whole = m_attempt->m_events.Feed(aPiece);
    m_lastEvent = whole.m_lastId ? whole.m_lastId : m_lastEvent;
    PassEvents(std::move(whole.m_bytes));
    return;
  }
  if (m_attempt->m_body.size() + aPiece.size() > m_core.m_options.m_maxAnswerBytes) {
    m_attempt->m_foreign = true;
    return;
  }
  m_attempt->m_body.append(aPiece);
}

void Exchange::PassEvents(std::string aEvents)
{
  if (aEvents.empty()) {
    return;
  }
  if (!m_answerBegan) {
    m_answerBegan = true;
    m_beganAt = base::MonotonicNow();
    if (m_assigned.m_free && m_sends == 1 && m_attempt->m_endpoint == m_assigned.m_engine) {
      m_core.m_dispatcher->OnBegan(m_assigned.m_readTokens, *m_beganAt - m_attempt->m_sentAt);
    }
    m_core.m_admission[m_service].OnAnswerStarted(*m_admission, base::MonotonicNow());
    if (m_core.m_leaving) {
      m_reply->CloseAfter();
    }
    m_core.m_metrics.Observe("first_event_seconds",
                             base::Seconds(base::MonotonicNow() - m_arrival));
    m_reply->StartStream(m_attempt->m_head->m_status, m_attempt->m_head->m_forwarded);
  }
  m_reply->Write(std::move(aEvents));
}

AttemptEnd Exchange::EndOf(const Attempt& aAttempt, const net::ClientOutcome& aOutcome) const
{
  if (aOutcome.m_end == net::WireEnd::NotSent) {
    return AttemptEnd::NotSent;
  }
  const bool ours = aAttempt.m_head && !aAttempt.m_foreign;
  if (ours && aAttempt.m_head->m_notRun) {
    return AttemptEnd::NotRun;
  }
  const bool whole = ours && aOutcome.m_end == net::WireEnd::Complete;
  return whole && !aAttempt.m_head->Succeeds() ? AttemptEnd::Failure : AttemptEnd::Broken;
}

} // namespace ferrytray::relay
