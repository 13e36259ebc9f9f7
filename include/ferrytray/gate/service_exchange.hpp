#pragma once

#include <memory> // for enable_shared_from_this
#include <set>    // for set
#include <string> // for string

#include "ferrytray/gate/once_guard.hpp" // for OnceGuard

namespace ferrytray::gate {

/// @brief An admitted call of a service.
struct ServiceCall
{
  std::string m_request; ///< request id
  net::HttpRequest m_http;
  RequestOptions m_requestOptions;
  config::ClientAccount m_account;
  config::Service m_service;
  base::TimePoint m_arrival;
};

/// @brief Handles one call of a service from admission to its response.
class ServiceExchange : public std::enable_shared_from_this<ServiceExchange>
{
public:
  ServiceExchange(GateCore& aCore, ServiceCall aCall, std::shared_ptr<net::HttpReply> aReply);
  ~ServiceExchange();
  void Start();

private:
  static constexpr base::Duration kRetryAfter = std::chrono::seconds(1);

  void OnDecision(const OnceDecision& aDecision);
  void Send();
  void OnReply(const std::string& aEndpoint,
               const net::ClientOutcome& aOutcome,
               const std::string& aBody);
  bool RetryIfAllowed(const std::string& aEndpoint, base::RunState aRun);
  void Answer(const net::ClientOutcome& aOutcome, const std::string& aBody);
  void Fail(base::ErrorCode aCode,
            const std::string& aMessage,
            base::RunState aRun,
            base::Duration aRetryAfter = kRetryAfter);
  void EndWork();
  /// Reports to crash detection how the call ended.
  void RecordCrashOutcome(const net::ClientOutcome& aOutcome, bool aComplete);
  [[nodiscard]] bool Idempotent() const;

  GateCore& m_core;
  ServiceCall m_call;
  std::shared_ptr<net::HttpReply> m_reply;
  std::shared_ptr<OnceGuard> m_guard;
  quarantine::ContentKey m_requestKey; ///< shared by identical requests
  std::string m_endpointIncarnation;   ///< name and incarnation of the endpoint used
  base::TimePoint m_sentAt{};
  std::set<std::string> m_tried;
  base::TimePoint m_deadline;
  std::uint32_t m_attempts = 0;
  bool m_mayHaveRun = false;
  bool m_open = false;
};

} // namespace ferrytray::gate
