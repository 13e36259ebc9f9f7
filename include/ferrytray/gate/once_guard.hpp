#pragma once

#include <functional> // for function
#include <memory>     // for shared_ptr
#include <optional>   // for optional
#include <string>     // for string
#include <variant>    // for variant

#include "ferrytray/gate/caller_request.hpp" // for RequestOptions
#include "ferrytray/gate/gate_core.hpp"      // for GateCore
#include "ferrytray/net/loop.hpp"            // for TimerHandle

namespace ferrytray::gate {

/// @brief Run the request at this gate.
struct RunLocally
{
};
/// @brief Send the stored response.
struct ReplayResponse
{
  once::StoredAnswer m_answer;
};
/// @brief Forward the request to the gate of a known member.
struct ForwardTo
{
  std::string m_address;
};

using OnceDecision = std::variant<RunLocally, ReplayResponse, ForwardTo, base::Failure>;

/// @brief Ensures that a request runs at most once: by its ticket, by a claim of its idempotency
/// key, or, with neither, by being sent only once.
class OnceGuard : public std::enable_shared_from_this<OnceGuard>
{
public:
  OnceGuard(GateCore& aCore,
            const RequestOptions& aRequestOptions,
            std::string aAccount,
            const base::Digest128& aContentDigest);

  /// @brief Decides what to do with the request; calls back once, possibly later.
  void Begin(std::function<void(const OnceDecision&)> aOnDecision);
  /// @brief The request ended with a response.
  void Finish(const once::StoredAnswer& aAnswer);
  /// @brief The request ended without a response.
  void Fail(base::RunState aRun);
  /// @brief Whether the response is stored for a retry, so that a run without a caller goes on.
  [[nodiscard]] bool StoresResponse() const
  {
    return m_requestOptions.m_ticket || m_requestOptions.m_idempotencyKey;
  }

private:
  void Resolve(const OnceDecision& aDecision);
  void BeginTicket();
  void BeginClaim();
  void OnClaim(const once::ClaimAction& aAction);
  /// Forwards to the gate that issued the ticket, once the membership protocol has announced it.
  void ResolveRemoteTicket(std::string aIncarnation, base::TimePoint aGiveUpAt);
  [[nodiscard]] OnceDecision DecideLostClaim(const once::LiveClaim& aHolder) const;
  [[nodiscard]] OnceDecision ForwardToIncarnation(const std::string& aIncarnation) const;

  GateCore& m_core;
  RequestOptions m_requestOptions;
  std::string m_account;
  base::Digest128 m_contentDigest;
  base::Digest128 m_keyDigest;
  std::optional<base::Digest128> m_claim;
  bool m_claimRejected = false; ///< lost or unsettled, possibly before Claim() returned
  bool m_ticketRedeemed = false;
  net::TimerHandle m_holderTimer;
  std::function<void(const OnceDecision&)> m_onDecision;
};

} // namespace ferrytray::gate
