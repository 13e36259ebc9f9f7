#pragma once

#include <array>       // for array
#include <cstdint>     // for uint32_t, uint64_t
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/error.hpp"           // for Failure
#include "ferrytray/net/http_server.hpp"      // for HttpReply
#include "ferrytray/relay/attempt_policy.hpp" // for AttemptOutcome
#include "ferrytray/relay/call_planner.hpp"   // for CallPlanner
#include "ferrytray/relay/caller_request.hpp" // for CallerRequest
#include "ferrytray/relay/endpoint_call.hpp"  // for EndpointCall, ReplyHead
#include "ferrytray/relay/event_splitter.hpp" // for EventSplitter
#include "ferrytray/relay/relay_core.hpp"     // for RelayCore
#include "ferrytray/relay/route_match.hpp"    // for RouteMatch

namespace ferrytray::relay {

/// @brief Handles one caller's request from its arrival to its final reply.
///
/// Sends the request to one endpoint at a time. After an unsuccessful send, DecideNextStep()
/// decides what follows.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(RelayCore& aCore,
           CallerRequest aRequest,
           RouteMatch aRouteMatch,
           std::shared_ptr<net::HttpReply> aReply);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();

private:
  /// The send in progress.
  struct Attempt
  {
    std::string m_incarnation; ///< of the endpoint
    std::string m_endpointId;  ///< id that the endpoint reports
    net::CallId m_callId = 0;
    base::TimePoint m_sentAt;
    std::optional<fleet::WeightVersion> m_weights;
    std::optional<ReplyHead> m_head;
    bool m_invalidReply = false; ///< the reply belongs to another request, or its body is too large
    std::string m_body;
    EventSplitter m_eventSplitter;
  };

  void OnAssigned(Assignment aAssigned);
  /// Picks an endpoint and sends, after obtaining a permit if the endpoint is limited.
  void Send();
  void SendTo(const Target& aTarget);
  /// Takes a permit that this host holds or requests one, then sends or picks another endpoint.
  void SendToLimited(const Target& aTarget);
  void OnPermitDenied(const std::string& aIncarnation);
  /// Whether an endpoint that was picked before the permit was requested may still get the request.
  /// @param aEndpoint null: it is no longer listed
  [[nodiscard]] bool IsStillUsable(const fleet::Endpoint* aEndpoint) const;
  /// Excludes all limited endpoints, since asking for further permits would delay the request.
  void ExcludeLimitedEndpoints();
  /// Called if no endpoint is left.
  void FailWithoutEndpoint(std::optional<base::TimePoint> aNextPermitAt);
  /// Called if the last endpoint that was tried refused the request and no further send is allowed.
  void FailRefused();
  void OnHead(int aStatus, const net::Headers& aHeaders);
  void OnData(std::string_view aPiece);
  void OnEnd(const net::ClientOutcome& aOutcome);
  void UpdateEndpointState(const ReplyHead& aHead);
  [[nodiscard]] bool IsSuccess(const Attempt& aAttempt) const;
  [[nodiscard]] AttemptOutcome ClassifyOutcome(const Attempt& aAttempt,
                                               const net::ClientOutcome& aOutcome) const;
  void Deliver(Attempt aAttempt);
  void ForwardEvents(std::string aEvents);
  [[nodiscard]] RetryContext RetryContextOf(AttemptOutcome aOutcome, const Attempt& aAttempt) const;
  void HandleFailure(AttemptOutcome aOutcome, Attempt aAttempt, std::string_view aDetail);
  void CancelAttempt();
  void OnDeadline();
  void OnCallerDisconnected();
  void Refuse(base::ErrorCode aCode, std::string aMessage);
  /// Called before the reply starts, when the prompt would wait for memory at all its home
  /// endpoints.
  void RefuseMemoryFull(routing::Work aLeastOpen);
  void FailUnknown(base::ErrorCode aCode, std::string aMessage);
  void SendFailure(const base::Failure& aFailure);
  void AbortReply(std::string_view aWhy);
  void Finish(std::string_view aOutcome, std::string_view aWhy = "");
  [[nodiscard]] base::Duration Remaining() const;
  /// Records a crash, since the endpoint broke the connection during the request. Does nothing if
  /// the endpoint is leaving.
  void RecordCrash(const Attempt& aAttempt);
  void RecordSuccess();
  /// Answers without sending, because requests with the same key crashed the endpoints that ran
  /// them.
  void RefuseQuarantined();
  /// Picks a service and excludes its endpoints that may be down, since a probe is sent only once.
  /// @return whether a usable endpoint remains
  bool PrepareProbe();
  /// Asks whether this host may send the quarantined request once as a probe.
  void ClaimProbe();
  /// Applies the admission limit, then sends, or first requests an engine for a long prompt.
  void Admit();
  [[nodiscard]] bool IsBlockedByQuarantine() const
  {
    return !m_isProbe && m_core.m_crashes.IsQuarantined(m_requestKey);
  }

  RelayCore& m_core;
  CallerRequest m_request;
  RouteMatch m_routeMatch;
  quarantine::RequestKey m_requestKey; ///< equal for requests that count as identical
  CallPlanner m_planner;
  std::shared_ptr<net::HttpReply> m_reply;
  base::TimePoint m_arrivedAt;
  base::TimePoint m_deadlineAt;
  net::TimerHandle m_deadlineTimer;
  std::optional<Attempt> m_attempt;
  std::string m_service;
  std::optional<std::uint64_t> m_admissionTicket; ///< from the service's admission limit
  routing::Work m_work;                           ///< per send
  Assignment m_assigned;                          ///< for a long prompt
  std::set<std::string> m_triedEndpoints;
  std::uint32_t m_permitsDenied = 0;
  /// Earliest time at which a permit that was denied may be requested again.
  std::optional<base::TimePoint> m_nextPermitAt;
  std::uint32_t m_sends = 0;
  std::uint32_t m_endpointsUsed = 0;
  bool m_mayHaveRun = false;
  bool m_replyStarted = false;
  std::optional<std::uint64_t> m_lastEventId; ///< last event forwarded to the caller
  std::string m_lastEndpoint;
  routing::Work m_lastOpenWork = 0; ///< of the last send, for the log
  bool m_lastAtHome = true;
  std::array<std::uint64_t, cache::kPartOutcomes>
    m_lastTokensByOutcome{};                     ///< by cache::PartOutcome
  std::optional<base::TimePoint> m_firstEventAt; ///< when the reply's first event was forwarded
  bool m_isProbe = false;                        ///< sent once although the request is quarantined
  bool m_done = false;
};

} // namespace ferrytray::relay
