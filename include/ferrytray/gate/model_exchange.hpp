#pragma once

#include <memory> // for enable_shared_from_this
#include <set>    // for set
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/gate/context_restore.hpp" // for StoreLookupResult
#include "ferrytray/gate/engine_attempt.hpp"  // for EngineAttempt
#include "ferrytray/gate/exporter.hpp"        // for ContextExporter
#include "ferrytray/gate/fleet_queues.hpp"    // for FleetQueues
#include "ferrytray/gate/once_guard.hpp"      // for OnceGuard
#include "ferrytray/gate/response_writer.hpp" // for ResponseWriter
#include "ferrytray/routing/choose.hpp"       // for Choice

namespace ferrytray::gate {

/// @brief Services used by model exchanges besides the core.
struct ExchangeServices
{
  FleetQueues& m_queues;
  ContextExporter& m_exporter;
};

/// @brief An admitted completion request.
struct ModelCall
{
  std::string m_request; ///< request id
  net::HttpRequest m_http;
  RequestOptions m_requestOptions;
  ModelRequest m_model;
  config::ClientAccount m_account;
  config::Fleet m_fleet;
  base::TimePoint m_arrival;
};

/// @brief Handles one completion request from admission to its response.
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
  /// Retry-After advice for failed requests.
  static constexpr base::Duration kRetryAfter = std::chrono::seconds(1);

  void OnDecision(const OnceDecision& aDecision);
  void BeginRouting();
  void Route();
  bool QueueIfBusy();
  void Record(const std::vector<FleetView::Candidate>& aCandidates,
              const std::vector<std::optional<routing::Plan>>& aPlans,
              const std::string& aWorker);
  bool RejectIfTooLate(const routing::Plan& aPlan, std::size_t aWorkers);
  void RestoreContext();
  void StartAttempt(const std::string& aImport);
  [[nodiscard]] std::string EngineBody(const std::string& aAttempt,
                                       const std::string& aImport) const;
  void OnText(const std::string& aText);
  void OnEnd(const AttemptResult& aResult);
  void Handle(const AttemptComplete& aResult);
  void Handle(const AttemptNotStarted& aResult);
  void Handle(const AttemptVersionMismatch& aResult);
  void Handle(const AttemptInterrupted& aResult);
  bool RetryIfAllowed(base::RunState aRun);
  void RecordUsage(const TokenUsage& aUsage);
  void Fail(base::ErrorCode aCode, const std::string& aMessage, base::Duration aRetryAfter = {});
  void OnCallerDisconnected();
  void OnDeadline();
  void EndWork();

  /// Name and incarnation of the selected engine.
  [[nodiscard]] std::string EngineIncarnation() const
  {
    return m_worker + "/" + m_workerIncarnation;
  }
  [[nodiscard]] routing::RequestShape Shape() const;
  [[nodiscard]] bool Idempotent() const;
  [[nodiscard]] base::RunState OverallRunState() const;

  GateCore& m_core;
  ExchangeServices m_services;
  ModelCall m_call;
  ResponseWriter m_answer;
  std::shared_ptr<OnceGuard> m_guard;
  std::shared_ptr<EngineAttempt> m_attempt;
  std::vector<base::Digest128> m_blocks;
  StoreLookupResult m_store;
  routing::Choice m_choice;
  std::string m_worker;
  std::string m_workerAddress;
  std::string m_workerIncarnation;
  double m_workerTokensPerSecond = 1;
  std::uint32_t m_workerCachedBlocks = 0;
  quarantine::ContentKey m_requestKey; ///< shared by identical requests
  base::TimePoint m_sentAt{};
  std::set<std::string> m_tried;
  base::TimePoint m_deadline;
  net::TimerHandle m_deadlineTimer;
  std::uint64_t m_queuedId = 0;
  std::uint32_t m_attempts = 0;
  bool m_mayHaveRun = false;
  bool m_wasQueued = false;
  bool m_open = false;
};

} // namespace ferrytray::gate
