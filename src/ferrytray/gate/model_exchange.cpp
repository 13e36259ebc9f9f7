#include "ferrytray/gate/model_exchange.hpp"

#include <algorithm> // for min, max

#include <nlohmann/json.hpp> // for json

#include "ferrytray/blocks/chain.hpp"            // for ChainBlocks
#include "ferrytray/gate/request_forwarding.hpp" // for ForwardRequest
#include "ferrytray/limits/admission.hpp"        // for CheckDeadline

namespace ferrytray::gate {

namespace {

using base::ErrorCode;
using base::RunState;
using nlohmann::json;

constexpr std::uint32_t kBytesPerToken = 4;
constexpr unsigned kPriorityShift = 48;

} // namespace

ModelExchange::ModelExchange(GateCore& aCore,
                             ExchangeServices aServices,
                             ModelCall aCall,
                             std::shared_ptr<net::HttpReply> aReply)
  : m_core(aCore)
  , m_services(aServices)
  , m_call(std::move(aCall))
  , m_answer(std::move(aReply),
             { m_call.m_request, m_call.m_model.m_model },
             m_call.m_model.m_kind,
             m_call.m_model.m_stream)
{
}

ModelExchange::~ModelExchange()
{
  EndWork();
}

void ModelExchange::Start()
{
  m_open = true;
  m_requestKey = quarantine::KeyOf({ m_call.m_account.m_name,
                                     m_call.m_http.m_method,
                                     "",
                                     m_call.m_http.m_target,
                                     m_call.m_http.m_body });
  m_core.AddOpenWork({ "fleet " + m_call.m_fleet.m_name, "account " + m_call.m_account.m_name });
  const base::Duration deadline =
    m_call.m_requestOptions.m_deadline.value_or(m_core.m_options.m_defaultDeadline);
  m_deadline = m_call.m_arrival + std::min(deadline, m_core.m_options.m_maxDeadline);
  m_guard = std::make_shared<OnceGuard>(
    m_core, m_call.m_requestOptions, m_call.m_account.m_name, ContentDigest(m_call.m_http));
  const std::weak_ptr<ModelExchange> weak = weak_from_this();
  m_answer.OnClosed([weak] {
    if (const auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  const auto self = shared_from_this();
  m_guard->Begin([self](const OnceDecision& aDecision) { self->OnDecision(aDecision); });
}

void ModelExchange::OnDecision(const OnceDecision& aDecision)
{
  if (std::holds_alternative<RunLocally>(aDecision)) {
    BeginRouting();
    return;
  }
  EndWork();
  if (const auto* replay = std::get_if<ReplayResponse>(&aDecision)) {
    m_answer.Replay(replay->m_answer);
  } else if (const auto* forwardTo = std::get_if<ForwardTo>(&aDecision)) {
    ForwardRequest(m_core, forwardTo->m_address, m_call.m_http, m_call.m_request, m_answer.Reply());
  } else {
    m_answer.Fail(std::get<base::Failure>(aDecision));
  }
}

void ModelExchange::BeginRouting()
{
  const auto self = shared_from_this();
  m_deadlineTimer =
    m_core.m_loop.After(m_deadline - base::MonotonicNow(), [self] { self->OnDeadline(); });
  const blocks::BlockScope scope{ m_call.m_account.m_name,
                                  m_call.m_fleet.m_model,
                                  m_call.m_fleet.m_version };
  m_blocks = blocks::ChainBlocks(
    scope, m_call.m_model.m_prompt, { m_call.m_fleet.m_blockBytes, m_call.m_fleet.m_blockTokens });
  if (m_blocks.empty()) {
    Route();
    return;
  }
  m_core.m_contexts.OnRequest(m_call.m_account.m_name, m_blocks.front(), m_call.m_arrival);
  LookupStores(m_core, m_blocks, [self](const StoreLookupResult& aLookup) {
    self->m_store = aLookup;
    if (self->m_open) {
      self->Route();
    }
  });
}

routing::RequestShape ModelExchange::Shape() const
{
  const auto promptTokens =
    static_cast<std::uint32_t>(m_call.m_model.m_prompt.size() / kBytesPerToken);
  const double bytesPerBlock =
    static_cast<double>(m_call.m_fleet.m_blockTokens) * m_call.m_fleet.m_kvBytesPerToken;
  return { promptTokens,
           static_cast<std::uint32_t>(m_blocks.size()),
           m_call.m_fleet.m_blockTokens,
           bytesPerBlock };
}

bool ModelExchange::QueueIfBusy()
{
  if (m_wasQueued || !m_services.m_queues.MustQueue(m_call.m_fleet.m_name)) {
    return false;
  }
  m_wasQueued = true;
  const auto self = shared_from_this();
  const double seconds = std::max(1.0, static_cast<double>(Shape().m_promptTokens)) / 10000;
  m_queuedId = m_services.m_queues.Enqueue(
    m_call.m_fleet.m_name, m_call.m_account.m_name, m_call.m_account.m_weight, seconds, [self] {
      self->m_queuedId = 0;
      self->Route();
    });
  if (m_queuedId == 0) {
    Fail(ErrorCode::QueueFull, "the queue of the fleet is full", kRetryAfter);
  }
  return true;
}

void ModelExchange::Route()
{
  if (!m_open) {
    return;
  }
  if (m_core.m_crashes.IsQuarantined(m_requestKey)) {
    Fail(ErrorCode::RequestQuarantined,
         "identical requests have crashed the endpoints that ran them",
         kRetryAfter);
    return;
  }
  const base::TimePoint now = base::MonotonicNow();
  const auto candidates = m_core.m_view.Candidates(m_call.m_fleet, m_blocks, m_tried, now);
  std::vector<routing::WorkerView> workers;
  for (const FleetView::Candidate& candidate : candidates) {
    workers.push_back(candidate.m_view);
  }
  const std::vector<routing::StoreView> stores(workers.size(), m_store.m_view);
  std::vector<std::optional<routing::Plan>> plans(workers.size());
  const config::PolicyWeights& weights = m_call.m_fleet.m_weights;
  routing::ChooseOptions options;
  options.m_weights = {
    weights.m_firstToken, weights.m_recompute, weights.m_link, weights.m_firstTokenTarget
  };
  options.m_maxReportAge = m_core.m_options.m_maxLoadReportAge;
  const std::uint64_t random = base::Hash64(m_call.m_request, std::to_string(m_attempts));
  const auto choice = routing::ChooseWorker(Shape(), workers, stores, options, random, plans);
  if (!choice) {
    Record(candidates, plans, "");
    const auto backoffEnd = m_core.m_view.EarliestBackoffEnd(m_call.m_fleet.m_name, now);
    Fail(backoffEnd ? ErrorCode::EndpointsInBackoff : ErrorCode::NoEndpoint,
         "fleet '" + m_call.m_fleet.m_name + "' has no usable worker",
         backoffEnd ? *backoffEnd - now : kRetryAfter);
    return;
  }
  if (RejectIfTooLate(choice->m_plan, workers.size()) || QueueIfBusy()) {
    return;
  }
  const FleetView::Candidate& chosen = candidates[choice->m_worker];
  m_choice = *choice;
  m_worker = chosen.m_endpoint->m_host.m_name;
  m_workerAddress = chosen.m_endpoint->m_host.m_address;
  m_workerIncarnation = chosen.m_endpoint->m_host.m_incarnation;
  m_workerTokensPerSecond = chosen.m_view.m_tokensPerSecond;
  m_workerCachedBlocks = chosen.m_view.m_cachedBlocks;
  m_core.m_view.OnSent(m_worker, choice->m_plan.m_engineTime, now);
  Record(candidates, plans, m_worker);
  RestoreContext();
}

void ModelExchange::Record(const std::vector<FleetView::Candidate>& aCandidates,
                           const std::vector<std::optional<routing::Plan>>& aPlans,
                           const std::string& aWorker)
{
  Decision decision{
    m_call.m_request, m_call.m_account.m_name, m_call.m_fleet.m_name, aWorker, {}
  };
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    decision.m_candidates.push_back({ aCandidates[i].m_endpoint->m_host.m_name, aPlans[i] });
  }
  m_core.m_decisions.Record(std::move(decision));
}

bool ModelExchange::RejectIfTooLate(const routing::Plan& aPlan, std::size_t aWorkers)
{
  if (!m_call.m_requestOptions.m_deadline) {
    return false;
  }
  const base::Duration drain = m_services.m_queues.ExpectedWait(m_call.m_fleet.m_name, aWorkers);
  const base::Duration queueWait = m_wasQueued ? base::Duration::zero() : drain;
  const limits::AdmissionEstimate estimate{
    m_call.m_arrival, m_deadline, aPlan.m_firstToken + queueWait, drain
  };
  const auto admission = limits::CheckDeadline(estimate, base::MonotonicNow());
  if (admission) {
    return false;
  }
  Fail(admission.error().m_code, admission.error().m_message, admission.error().m_retryAfter);
  return true;
}

void ModelExchange::RestoreContext()
{
  if (m_choice.m_plan.m_restoreBlocks == 0) {
    StartAttempt("");
    return;
  }
  const ImportRequest import{
    m_workerAddress, m_store, m_blocks, m_workerCachedBlocks, m_choice.m_plan.m_restoreBlocks
  };
  const auto self = shared_from_this();
  ImportBlocks(m_core, import, [self](std::optional<std::string> aImport) {
    if (!self->m_open) {
      return;
    }
    if (aImport) {
      self->m_core.m_metrics.Count("import_link_bytes_total", self->m_choice.m_plan.m_linkBytes);
    }
    self->StartAttempt(aImport.value_or(""));
  });
}

std::string ModelExchange::EngineBody(const std::string& aAttempt, const std::string& aImport) const
{
  std::vector<std::string> names;
  names.reserve(m_blocks.size());
  for (const base::Digest128& block : m_blocks) {
    names.push_back(base::ToHex(block));
  }
  // Within a priority the engine orders requests by their arrival at the gate, so that a request
  // does not lose its place while its context is imported.
  const auto arrival = static_cast<std::uint64_t>(m_call.m_arrival.time_since_epoch().count());
  const std::uint64_t mask = (std::uint64_t{ 1 } << kPriorityShift) - 1;
  const std::uint64_t priority =
    (std::uint64_t{ m_call.m_model.m_priority } << kPriorityShift) | (arrival & mask);
  return json{
    { "model", m_call.m_fleet.m_model },
    { "prompt", m_call.m_model.m_prompt },
    { "max_tokens", m_call.m_model.m_maxTokens },
    { "stream", true },
    { "cache_salt", m_call.m_account.m_name },
    { "priority", priority },
    { "x_request", m_call.m_request },
    { "x_attempt", aAttempt },
    { "x_version", m_call.m_fleet.m_version },
    { "x_incarnation", m_workerIncarnation },
    { "x_import", aImport },
    { "x_blocks", names }
  }.dump(-1, ' ', false, json::error_handler_t::replace);
}

void ModelExchange::StartAttempt(const std::string& aImport)
{
  // The worker may have announced its shutdown or asked for a backoff during the import.
  if (!m_core.m_view.IsStillUsable(m_worker, base::MonotonicNow())) {
    m_tried.insert(m_worker);
    Route();
    return;
  }
  ++m_attempts;
  m_sentAt = base::MonotonicNow();
  const std::string attempt = m_core.NextAttemptId();
  const base::Duration timeout = m_core.m_options.m_maxDeadline;
  const auto self = shared_from_this();
  const EngineAttempt::Handlers handlers{ [self](const std::string& aText) { self->OnText(aText); },
                                          [self](const AttemptResult& aResult) {
                                            self->OnEnd(aResult);
                                          } };
  const AttemptRequest request{
    m_workerAddress, attempt, m_call.m_fleet.m_version, EngineBody(attempt, aImport), timeout
  };
  m_attempt = std::make_shared<EngineAttempt>(m_core, request, handlers);
  m_attempt->Start();
}

void ModelExchange::OnText(const std::string& aText)
{
  if (!m_answer.HasText()) {
    const double seconds = base::Seconds(base::MonotonicNow() - m_call.m_arrival);
    m_core.m_view.OnWorkDone(m_worker, m_choice.m_plan.m_engineTime, base::MonotonicNow());
    m_core.m_metrics.Observe("first_token_seconds{fleet=\"" + m_call.m_fleet.m_name + "\"}",
                             seconds);
    if (m_call.m_model.m_stream) {
      // The deadline of a stream applies to its first token, that of other responses to the end.
      m_deadlineTimer.reset();
    }
  }
  m_answer.AppendText(aText);
  if (m_answer.UnsentBytes() > m_core.m_options.m_maxUnsentBytes && !m_guard->StoresResponse()) {
    m_core.m_metrics.Count("slow_callers_dropped_total");
    m_attempt->Cancel();
    m_mayHaveRun = true;
    Fail(ErrorCode::DeadlineExceeded, "the caller did not read the response fast enough");
  }
}

} // namespace ferrytray::gate
