#pragma once

#include <functional> // for function
#include <memory>     // for shared_ptr
#include <optional>   // for optional
#include <string>     // for string
#include <variant>    // for variant

#include "ferrytray/gate/caller_request.hpp" // for CallerTerms
#include "ferrytray/gate/gate_core.hpp"      // for GateCore

namespace ferrytray::gate {

/// @brief Run the request here.
struct RunLocally
{
};
/// @brief Send the answer that was kept.
struct ReplayResponse
{
  once::KeptAnswer m_answer;
};
/// @brief Pass the request on to another gate, a known member.
struct ForwardTo
{
  std::string m_address;
};

using OnceDecision = std::variant<RunLocally, ReplayResponse, ForwardTo, base::Failure>;

/// @brief Sees to it that one request runs at most once: by ticket, by claim, or by being sent
/// once.
class OnceGuard : public std::enable_shared_from_this<OnceGuard>
{
public:
  OnceGuard(GateCore& aCore,
            const RequestOptions& aRequestOptions,
            std::string aAccount,
            const base::Digest128& aContentDigest);

  /// @brief Decides what to do with the request; calls once, perhaps later.
  void Begin(std::function<void(const OnceDecision&)> aOnDecision);
  /// @brief The request ended with an answer.
  void Finish(const once::KeptAnswer& aAnswer);
  /// @brief The request ended without one.
  void Fail(base::RunState aRun);
  /// @brief Whether the caller may come back for the answer, so that it is worth finishing.
  [[nodiscard]] bool StoresResponse() const
  {
    return m_requestOptions.m_ticket || m_requestOptions.m_idempotencyKey;
  }

private:
  void Resolve(const OnceDecision& aDecision);
  void BeginTicket();
  void BeginClaim();
  void OnClaim(const once::ClaimAction& aAction);
  [[nodiscard]] OnceDecision DecideRemoteTicket(const once::RedeemElsewhere& aRemoteTicket) const;
  [[nodiscard]] OnceDecision DecideLostClaim(const once::LiveClaim& aHolder) const;
  [[nodiscard]] OnceDecision ForwardToIncarnation(const std::string& aIncarnation) const;

  GateCore& m_core;
  RequestOptions m_requestOptions;
  std::string m_account;
  base::Digest128 m_contentDigest;
  base::Digest128 m_keyDigest;
  std::optional<base::Digest128> m_claim;
  bool m_claimRejected = false; ///< settled against this request, perhaps at once
  bool m_ticketRedeemed = false;
  std::function<void(const OnceDecision&)> m_onDecision;
};

} // namespace ferrytray::gate
