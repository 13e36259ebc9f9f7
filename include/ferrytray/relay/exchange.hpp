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
#include "ferrytray/relay/admitted.hpp"       // for Admitted
#include "ferrytray/relay/attempt_policy.hpp" // for AttemptEnd
#include "ferrytray/relay/call_planner.hpp"   // for CallPlanner
#include "ferrytray/relay/caller_request.hpp" // for CallerRequest
#include "ferrytray/relay/endpoint_call.hpp"  // for EndpointCall, ReplyHead
#include "ferrytray/relay/event_splitter.hpp" // for EventSplitter
#include "ferrytray/relay/relay_core.hpp"     // for RelayCore

namespace ferrytray::relay {

/// @brief One caller's request from its arrival to its final answer.
///
/// Its sends to endpoints come one after the other; each decision is AttemptPolicy's.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(RelayCore& aCore,
           CallerRequest aRequest,
           Admitted aAdmitted,
           std::shared_ptr<net::HttpReply> aReply);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();

private:
  /// The send that is under way.
  struct Attempt
  {
    std::string m_endpoint;   ///< incarnation
    std::string m_endpointId; ///< what it calls itself
    net::CallId m_call = 0;
    base::TimePoint m_sentAt;
    std::optional<fleet::WeightVersion> m_weights;
    std::optional<ReplyHead> m_head;
    bool m_foreign = false; ///< the reply is not this request's
    std::string m_body;
    EventSplitter m_events;
  };

  void OnAssigned(Assignment aAssigned);
  void Send();
  void OnHead(int aStatus, const net::Headers& aHeaders);
  void OnData(std::string_view aPiece);
  void OnEnd(const net::ClientOutcome& aOutcome);
  void Learn(const ReplyHead& aHead);
  [[nodiscard]] bool IsSuccess(const Attempt& aAttempt) const;
  [[nodiscard]] AttemptEnd EndOf(const Attempt& aAttempt, const net::ClientOutcome& aOutcome) const;
  void Deliver(Attempt aAttempt);
  void PassEvents(std::string aEvents);
  [[nodiscard]] AttemptFacts FactsOf(AttemptEnd aEnd, const Attempt& aAttempt) const;
  void AfterFailure(AttemptEnd aEnd, Attempt aAttempt, std::string_view aDetail);
  void EndAttempt();
  void OnDue();
  void OnCallerGone();
  void Refuse(base::ErrorCode aCode, std::string aMessage);
  /// The answer has not begun, and the prompt would wait for memory at all its homes.
  void RefuseAsFull(routing::Work aLeastOpen);
  void FailUnknown(base::ErrorCode aCode, std::string aMessage);
  void Answer(const base::Failure& aFailure);
  void BreakOff(std::string_view aWhy);
  void Finish(std::string_view aOutcome, std::string_view aWhy = "");
  [[nodiscard]] base::Duration Left() const;
  /// Tells the crash board what the send's end says of the request.
  void NoteBroken(const Attempt& aAttempt);
  void NoteAnswered();
  /// Requests that are alike end the endpoints that run them: this one is not sent any more.
  void KeepAway();
  /// Before it is sent though it is kept away: chooses a service and leaves out its endpoints that
  /// may be down, since it is sent once only. @return whether another one is left
  bool ChooseForTry();
  /// Asks whether this one may be sent though requests that are alike are kept away.
  void ClaimTry();
  /// Looks for a place and sends.
  void Admit();
  [[nodiscard]] bool IsKeptAway() const
  {
    return !m_isTry && m_core.m_crashes.IsQuarantined(m_key);
  }

  RelayCore& m_core;
  CallerRequest m_request;
  Admitted m_admitted;
  quarantine::RequestKey m_key; ///< of all requests that are alike
  CallPlanner m_planner;
  std::shared_ptr<net::HttpReply> m_reply;
  base::TimePoint m_arrival;
  base::TimePoint m_dueAt;
  net::TimerHandle m_due;
  std::optional<Attempt> m_attempt;
  std::string m_service;
  std::optional<std::uint64_t> m_admission; ///< its number at the service's limit
  routing::Work m_work;                     ///< of one send
  Assignment m_assigned;                    ///< of a long prompt
  std::set<std::string> m_tried;
  std::uint32_t m_sends = 0;
  std::uint32_t m_ranOn = 0;
  bool m_mayHaveRun = false;
  bool m_answerBegan = false;
  std::optional<std::uint64_t> m_lastEvent; ///< passed on to the caller
  std::string m_lastEndpoint;
  routing::Work m_lastWorkThere = 0; ///< for the log: what decided the last send
  bool m_lastAtHome = true;
  std::array<std::uint64_t, cache::kPartOutcomes> m_lastTokens{}; ///< by cache::PartOutcome
  std::optional<base::TimePoint> m_beganAt;                       ///< the answer's first event
  bool m_isTry = false; ///< sent once, though requests that are alike are kept away
  bool m_done = false;
};

} // namespace ferrytray::relay
