#pragma once

#include <memory> // for enable_shared_from_this
#include <set>    // for set
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/gate/caller_answer.hpp"   // for CallerAnswer
#include "ferrytray/gate/context_restore.hpp" // for StoreFound
#include "ferrytray/gate/engine_attempt.hpp"  // for EngineAttempt
#include "ferrytray/gate/exporter.hpp"        // for Exporter
#include "ferrytray/gate/fleet_queues.hpp"    // for FleetQueues
#include "ferrytray/gate/once_guard.hpp"      // for OnceGuard
#include "ferrytray/routing/choose.hpp"       // for Choice

namespace ferrytray::gate {

/// @brief What the exchanges use besides the core.
struct ExchangeServices
{
  FleetQueues& m_queues;
  Exporter& m_exporter;
};

/// @brief An admitted request for a model.
struct ModelCall
{
  std::string m_request; ///< request id
  net::HttpRequest m_http;
  CallerTerms m_terms;
  ModelRequest m_model;
  config::ClientAccount m_account;
  config::Fleet m_fleet;
  base::TimePoint m_arrival;
};

/// @brief One request for a model, from admission to its one answer.
class ModelExchange : public std::enable_shared_from_this<ModelExchange>
{
public:
  ModelExchange(GateCore& aCore,
                ExchangeServices aServices,
                ModelCall aCall,
                std::shared_ptr<net::HttpReply> aReply);
  ~ModelExchange();
  void Start();

private:
  /// When a caller whose request was not run should come back.
  static constexpr base::Duration kComeBack = std::chrono::seconds(1);

  void OnVerdict(const OnceVerdict& aVerdict);
  void BeginRun();
  void Decide();
  bool HoldIfBusy();
  void Record(const std::vector<FleetView::Candidate>& aCandidates,
              const std::vector<std::optional<routing::Plan>>& aPlans,
              const std::string& aWorker);
  bool RefuseIfTooLate(const routing::Plan& aPlan, std::size_t aWorkers);
  void Restore();
  void Run(const std::string& aImport);
  [[nodiscard]] std::string EngineBody(const std::string& aAttempt,
                                       const std::string& aImport) const;
  void OnText(const std::string& aText);
  void OnEnd(const AttemptEnd& aEnd);
  void Handle(const AttemptComplete& aEnd);
  void Handle(const AttemptNotStarted& aEnd);
  void Handle(const AttemptWrongVersion& aEnd);
  void Handle(const AttemptBroken& aEnd);
  bool TryAgain(base::RunState aRun);
  void NoteUsage(const Usage& aUsage);
  void Fail(base::ErrorCode aCode, const std::string& aMessage, base::Duration aRetryAfter = {});
  void OnCallerGone();
  void OnDeadline();
  void EndWork();

  /// Of the engine that it was sent to: name and incarnation.
  [[nodiscard]] std::string Life() const { return m_worker + "/" + m_workerIncarnation; }
  [[nodiscard]] routing::RequestShape Shape() const;
  [[nodiscard]] bool Idempotent() const;
  [[nodiscard]] base::RunState RunSoFar() const;

  GateCore& m_core;
  ExchangeServices m_services;
  ModelCall m_call;
  CallerAnswer m_answer;
  std::shared_ptr<OnceGuard> m_guard;
  std::shared_ptr<EngineAttempt> m_attempt;
  std::vector<base::Digest128> m_blocks;
  StoreFound m_store;
  routing::Choice m_choice;
  std::string m_worker;
  std::string m_workerAddress;
  std::string m_workerIncarnation;
  double m_workerSpeed = 1;
  std::uint32_t m_workerCached = 0;
  quarantine::RequestKey m_key; ///< of all requests that are alike
  base::TimePoint m_sentAt{};
  std::set<std::string> m_tried;
  base::TimePoint m_deadline;
  net::TimerHandle m_deadlineTimer;
  std::uint64_t m_held = 0;
  std::uint32_t m_attempts = 0;
  bool m_mayHaveRun = false;
  bool m_wasHeld = false;
  bool m_open = false;
};

} // namespace ferrytray::gate
