// How a request ends: its due time, a caller that leaves, the system's own answers.
#include "ferrytray/relay/exchange.hpp"

#include <utility> // for move

#include "ferrytray/peers/replaced_board.hpp" // for KeyOf
#include "ferrytray/telemetry/log_line.hpp"   // for LogLine

namespace ferrytray::relay {

namespace {

/// An endpoint that has answered since then is taken to be up.
constexpr base::Duration kAnsweredLately = std::chrono::seconds(1);

} // namespace

void Exchange::EndAttempt()
{
  if (m_attempt) {
    m_core.m_client.Cancel(m_attempt->m_call);
    m_core.m_board.OnEnded(m_attempt->m_endpoint, m_work);
    m_mayHaveRun = true;
    m_attempt.reset();
  }
}

void Exchange::NoteBroken(const Attempt& aAttempt)
{
  const fleet::Endpoint* endpoint = m_core.m_directory.Find(aAttempt.m_endpoint);
  if (endpoint != nullptr && endpoint->m_leaving) {
    return; // it ends because it leaves
  }
  m_core.m_crashes.OnBroken(
    m_key, peers::KeyOf(aAttempt.m_endpoint), aAttempt.m_sentAt, base::MonotonicNow());
  if (m_core.m_onCrashesChanged) {
    m_core.m_onCrashesChanged(m_key);
  }
}

void Exchange::NoteAnswered()
{
  const bool suspected = m_core.m_crashes.Find(m_key).has_value();
  m_core.m_crashes.OnAnswered(m_key);
  if (suspected && m_core.m_onCrashesChanged) {
    m_core.m_onCrashesChanged(m_key);
  }
}

bool Exchange::ChooseForTry()
{
  m_service = m_planner.PickService();
  const bool anywhere = m_core.m_crashes.MayTryAnywhere(m_key, m_arrival);
  for (const fleet::Endpoint* endpoint : m_core.m_directory.Usable(m_service)) {
    const std::string& name = endpoint->m_incarnation;
    const bool answers =
      anywhere || m_core.m_board.AnsweredSince(name, m_arrival - kAnsweredLately);
    if (!answers || m_core.m_crashes.HasEnded(peers::KeyOf(name))) {
      m_tried.insert(name);
    }
  }
  return m_planner.PickTarget(m_service, m_tried, m_assigned).m_endpoint != nullptr;
}

void Exchange::ClaimTry()
{
  m_core.m_claimTry(m_key, [weak = weak_from_this()](bool aMay) {
    const auto self = weak.lock();
    if (!self || self->m_done) {
      return;
    }
    self->m_isTry = aMay;
    if (aMay) {
      self->Admit();
    } else {
      self->KeepAway();
    }
  });
}

void Exchange::KeepAway()
{
  const char* why = "requests like this one end the endpoints that run them";
  if (m_answerBegan) {
    BreakOff(why);
  } else if (m_mayHaveRun) {
    FailUnknown(base::ErrorCode::EndpointBroke, why);
  } else {
    Answer({ base::ErrorCode::RequestQuarantined,
             why,
             base::RunState::NotRun,
             m_core.m_options.m_comeBackQuarantined });
  }
}

void Exchange::OnDue()
{
  if (m_done) {
    return;
  }
  EndAttempt();
  if (m_answerBegan) {
    BreakOff("the answer was due");
  } else if (m_mayHaveRun) {
    FailUnknown(base::ErrorCode::DeadlineExceeded, "the answer was due");
  } else {
    Refuse(base::ErrorCode::DeadlineUnreachable, "the answer was due");
  }
}

void Exchange::OnCallerGone()
{
  if (m_done) {
    return;
  }
  EndAttempt();
  Finish("caller_gone");
}

void Exchange::Refuse(base::ErrorCode aCode, std::string aMessage)
{
  Answer({ aCode, std::move(aMessage), base::RunState::NotRun, m_core.m_options.m_comeBack });
}

void Exchange::RefuseAsFull(routing::Work aLeastOpen)
{
  std::string why = "the memory of the prompt's engines is taken: work of " +
                    std::to_string(aLeastOpen) + " is open at the least busy of them";
  if (m_mayHaveRun) {
    // It would be late by now, and would make others late.
    FailUnknown(base::ErrorCode::EndpointBroke, std::move(why));
  } else {
    Refuse(base::ErrorCode::EnginesFull, std::move(why));
  }
}

void Exchange::FailUnknown(base::ErrorCode aCode, std::string aMessage)
{
  Answer({ aCode, std::move(aMessage), base::RunState::Unknown, {} });
}

void Exchange::Answer(const base::Failure& aFailure)
{
  const OwnAnswer answer = m_core.m_format.WriteFailure(m_request.m_id, aFailure);
  if (m_core.m_leaving) {
    m_reply->CloseAfter();
  }
  m_reply->Send(answer.m_status, answer.m_headers, answer.m_body);
  m_core.m_metrics.Count("answers_own_total{code=\"" +
                         std::to_string(static_cast<int>(aFailure.m_code)) + "\"}");
  telemetry::LogLine("own_answer")
    .Add("request", m_request.m_id)
    .Add("code", static_cast<int>(aFailure.m_code))
    .Add("status", answer.m_status)
    .Add("run", base::ToString(aFailure.m_run))
    .Add("why", aFailure.m_message);
  Finish("own_answer");
}

void Exchange::BreakOff(std::string_view aWhy)
{
  m_reply->Abort();
  Finish("broken_off", aWhy);
}

void Exchange::Finish(std::string_view aOutcome, std::string_view aWhy)
{
  m_done = true;
  m_due.reset();
  const base::Duration took = base::MonotonicNow() - m_arrival;
  m_core.m_metrics.Count("requests_total{outcome=\"" + std::string(aOutcome) + "\"}");
  m_core.m_metrics.Observe("request_seconds", base::Seconds(took));
  const base::TimePoint contact = m_core.m_lastContact.value_or(m_arrival);
  telemetry::LogLine line("request");
  line.Add("request", m_request.m_id)
    .Add("request_key", base::ToHex(m_key))
    .Add("route", m_admitted.m_route->m_name)
    .Add("configuration", m_admitted.m_configuration->Get().m_version)
    .Add("endpoint", m_lastEndpoint)
    .Add("work_there", m_lastWorkThere)
    .Add("at_home", m_lastAtHome ? "yes" : "no")
    .Add("assigned", m_assigned.m_engine.empty() ? "no" : "yes")
    .Add("sends", m_sends)
    .Add("took_ms", base::ToMillis(took))
    .Add("contact_age_ms", base::ToMillis(base::MonotonicNow() - contact))
    .Add("operators_age_ms", m_core.OperatorsAgeMillis(base::MonotonicNow()))
    .Add("target_ms", base::ToMillis(m_admitted.m_route->m_targetLatency))
    .Add("outcome", aOutcome)
    .Add("why", aWhy.empty() ? "-" : aWhy);
  if (m_request.m_prompt) {
    line.Add("began_ms", m_beganAt ? base::ToMillis(*m_beganAt - m_arrival) : -1L)
      .Add("prompt_tokens", m_request.m_prompt->m_inputTokens);
    for (std::size_t fate = 0; fate < m_lastTokens.size(); ++fate) {
      line.Add(cache::ToString(static_cast<cache::PartOutcome>(fate)), m_lastTokens.at(fate));
    }
  }
}

} // namespace ferrytray::relay
