#pragma once

#include <memory> // for enable_shared_from_this
#include <set>    // for set
#include <string> // for string

#include "ferrytray/gate/once_guard.hpp" // for OnceGuard

namespace ferrytray::gate {

/// @brief An admitted call of a plain service.
struct ServiceCall
{
  std::string m_request; ///< request id
  net::HttpRequest m_http;
  RequestOptions m_requestOptions;
  config::ClientAccount m_account;
  config::Service m_service;
  base::TimePoint m_arrival;
};

/// @brief One call of a plain service, from admission to its one answer.
class ServiceExchange : public std::enable_shared_from_this<ServiceExchange>
{
public:
  ServiceExchange(GateCore& aCore, ServiceCall aCall, std::shared_ptr<net::HttpReply> aReply);
  ~ServiceExchange();
  void Start();

private:
  void OnDecision(const OnceDecision& aDecision);
  void Send();
  void OnReply(const std::string& aEndpoint,
               const net::ClientOutcome& aOutcome,
               const std::string& aBody);
  bool RetryIfAllowed(const std::string& aEndpoint, base::RunState aRun);
  void Answer(const net::ClientOutcome& aOutcome, const std::string& aBody);
  void Fail(base::ErrorCode aCode, const std::string& aMessage, base::RunState aRun);
  void EndWork();
  /// What the reply's end says of the request and of the endpoint.
  void RecordCrashOutcome(const net::ClientOutcome& aOutcome);
  [[nodiscard]] bool Idempotent() const;

  GateCore& m_core;
  ServiceCall m_call;
  std::shared_ptr<net::HttpReply> m_reply;
  std::shared_ptr<OnceGuard> m_guard;
  quarantine::RequestKey m_requestKey; ///< of all requests that are alike
  std::string m_endpointIncarnation; ///< of the endpoint that it was sent to: name and incarnation
  base::TimePoint m_sentAt{};
  std::set<std::string> m_tried;
  base::TimePoint m_deadline;
  std::uint32_t m_attempts = 0;
  bool m_mayHaveRun = false;
  bool m_open = false;
};

} // namespace ferrytray::gate
