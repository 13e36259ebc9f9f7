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
struct RunHere
{
};
/// @brief Send the answer that was kept.
struct ReplayAnswer
{
  once::StoredAnswer m_answer;
};
/// @brief Pass the request on to another gate, a known member.
struct PassOn
{
  std::string m_address;
};

using OnceVerdict = std::variant<RunHere, ReplayAnswer, PassOn, base::Failure>;

/// @brief Sees to it that one request runs at most once: by ticket, by claim, or by being sent
/// once.
class OnceGuard : public std::enable_shared_from_this<OnceGuard>
{
public:
  OnceGuard(GateCore& aCore,
            const CallerTerms& aTerms,
            std::string aAccount,
            const base::Digest128& aContent);

  /// @brief Decides what to do with the request; calls once, perhaps later.
  void Begin(std::function<void(const OnceVerdict&)> aOnVerdict);
  /// @brief The request ended with an answer.
  void Finish(const once::StoredAnswer& aAnswer);
  /// @brief The request ended without one.
  void Fail(base::RunState aRun);
  /// @brief Whether the caller may come back for the answer, so that it is worth finishing.
  [[nodiscard]] bool KeepsAnswer() const { return m_terms.m_ticket || m_terms.m_idempotencyKey; }

private:
  void Tell(const OnceVerdict& aVerdict);
  void BeginTicket();
  void BeginClaim();
  void OnClaim(const once::ClaimAction& aAction);
  [[nodiscard]] OnceVerdict VerdictFor(const once::RedeemForward& aElsewhere) const;
  [[nodiscard]] OnceVerdict VerdictForHolder(const once::LiveClaim& aHolder) const;
  [[nodiscard]] OnceVerdict PassOnTo(const std::string& aIncarnation) const;

  GateCore& m_core;
  CallerTerms m_terms;
  std::string m_account;
  base::Digest128 m_content;
  base::Digest128 m_key;
  std::optional<base::Digest128> m_claim;
  bool m_claimEnded = false; ///< settled against this request, perhaps at once
  bool m_redeemed = false;
  std::function<void(const OnceVerdict&)> m_onVerdict;
};

} // namespace ferrytray::gate
