#include "ferrytray/gate/once_guard.hpp"

#include <utility> // for exchange

namespace ferrytray::gate {

namespace {

using base::ErrorCode;
using base::RunState;

constexpr base::Duration kComeBack = std::chrono::seconds(1);

base::Failure Refusal(ErrorCode aCode, RunState aRun, std::string aMessage)
{
  return { aCode, std::move(aMessage), aRun, kComeBack };
}

} // namespace

OnceGuard::OnceGuard(GateCore& aCore,
                     const CallerTerms& aTerms,
                     std::string aAccount,
                     const base::Digest128& aContent)
  : m_core(aCore)
  , m_terms(aTerms)
  , m_account(std::move(aAccount))
  , m_content(aContent)
{
}

void OnceGuard::Begin(std::function<void(const OnceVerdict&)> aOnVerdict)
{
  m_onVerdict = std::move(aOnVerdict);
  if (m_terms.m_ticket) {
    BeginTicket();
  } else if (m_terms.m_idempotencyKey) {
    BeginClaim();
  } else {
    Tell(RunHere{});
  }
}

void OnceGuard::Tell(const OnceVerdict& aVerdict)
{
  // Taken out first: the call holds the request, which holds this guard.
  const auto onVerdict = std::exchange(m_onVerdict, nullptr);
  if (onVerdict) {
    onVerdict(aVerdict);
  }
}

void OnceGuard::BeginTicket()
{
  const once::RedeemResult redeemed =
    m_core.m_tickets.Redeem(*m_terms.m_ticket, m_account, m_content, base::MonotonicNow());
  if (std::holds_alternative<once::RedeemRun>(redeemed)) {
    m_redeemed = true;
    Tell(RunHere{});
  } else if (const auto* elsewhere = std::get_if<once::RedeemForward>(&redeemed)) {
    Tell(VerdictFor(*elsewhere));
  } else if (const auto* replay = std::get_if<once::RedeemReplay>(&redeemed)) {
    Tell(ReplayAnswer{ replay->m_answer });
  } else {
    Tell(std::get<base::Failure>(redeemed));
  }
}

OnceVerdict OnceGuard::VerdictFor(const once::RedeemForward& aElsewhere) const
{
  return PassOnTo(aElsewhere.m_incarnation);
}

OnceVerdict OnceGuard::PassOnTo(const std::string& aIncarnation) const
{
  // Only a known member is asked: an address from a caller's token would be a way in.
  const membership::Member* home = m_core.m_keeper->TicketHome(aIncarnation);
  const bool canPass =
    home != nullptr && !m_terms.m_forwarded && home->m_host != m_core.m_options.m_host;
  if (!canPass) {
    return Refusal(ErrorCode::TicketUnknown, RunState::Unknown, "the gate that would know is gone");
  }
  return PassOn{ home->m_gate };
}

void OnceGuard::BeginClaim()
{
  m_key = once::KeyDigest(m_account, *m_terms.m_idempotencyKey);
  const auto self = shared_from_this();
  const base::Digest128 claim = m_core.m_claims.Claim(
    m_key, m_content, [self](const once::ClaimAction& aAction) { self->OnClaim(aAction); });
  if (!m_claimEnded) {
    m_claim = claim;
  }
}

void OnceGuard::OnClaim(const once::ClaimAction& aAction)
{
  if (std::holds_alternative<once::ClaimWon>(aAction)) {
    Tell(RunHere{});
    return;
  }
  m_claimEnded = true;
  m_claim.reset();
  if (const auto* lost = std::get_if<once::ClaimLost>(&aAction)) {
    Tell(VerdictForHolder(lost->m_holder));
    return;
  }
  Tell(Refusal(ErrorCode::ClaimLogUnavailable,
               RunState::NotRun,
               "the platform's log cannot settle the key now; nothing was run"));
}

OnceVerdict OnceGuard::VerdictForHolder(const once::LiveClaim& aHolder) const
{
  if (aHolder.m_claim.m_request != m_content) {
    return Refusal(ErrorCode::KeyReusedForOtherRequest,
                   RunState::NotRun,
                   "the key was used for another request");
  }
  if (const auto kept = m_core.m_claims.StoredAnswer(m_key)) {
    return ReplayAnswer{ *kept };
  }
  const bool here = aHolder.m_claim.m_claimant == m_core.m_options.m_incarnation;
  if (here && !aHolder.m_done) {
    return Refusal(ErrorCode::ClaimPending, RunState::Unknown, "the request is being run");
  }
  if (here) {
    return Refusal(ErrorCode::ClaimOutcomeUnknown,
                   RunState::Unknown,
                   "the request has ended and its answer is gone");
  }
  const OnceVerdict passOn = PassOnTo(aHolder.m_claim.m_claimant);
  if (std::holds_alternative<PassOn>(passOn)) {
    return passOn;
  }
  return Refusal(
    ErrorCode::ClaimOutcomeUnknown, RunState::Unknown, "the gate that ran the request is gone");
}

void OnceGuard::Finish(const once::StoredAnswer& aAnswer)
{
  if (m_redeemed) {
    m_core.m_tickets.Finish(*m_terms.m_ticket, aAnswer);
  } else if (m_claim) {
    m_core.m_claims.Done(*m_claim, m_key, aAnswer);
  }
}

void OnceGuard::Fail(base::RunState aRun)
{
  const bool notRun = aRun == RunState::NotRun;
  if (m_redeemed && notRun) {
    m_core.m_tickets.CancelRedemption(*m_terms.m_ticket);
  } else if (m_redeemed) {
    m_core.m_tickets.FinishWithoutAnswer(*m_terms.m_ticket);
  } else if (m_claim && notRun) {
    m_core.m_claims.NotRun(*m_claim);
  } else if (m_claim) {
    m_core.m_claims.Done(*m_claim, m_key, std::nullopt);
  }
}

} // namespace ferrytray::gate
