#include "ferrytray/gate/once_guard.hpp"

#include <utility> // for exchange

namespace ferrytray::gate {

namespace {

using base::ErrorCode;
using base::RunState;

constexpr base::Duration kRetryAfter = std::chrono::seconds(1);
constexpr base::Duration kHolderCheckInterval = std::chrono::milliseconds(50);

base::Failure MakeFailure(ErrorCode aCode, RunState aRun, std::string aMessage)
{
  return { aCode, std::move(aMessage), aRun, kRetryAfter };
}

} // namespace

OnceGuard::OnceGuard(GateCore& aCore,
                     const RequestOptions& aRequestOptions,
                     std::string aAccount,
                     const base::Digest128& aContentDigest)
  : m_core(aCore)
  , m_requestOptions(aRequestOptions)
  , m_account(std::move(aAccount))
  , m_contentDigest(aContentDigest)
{
}

void OnceGuard::Begin(std::function<void(const OnceDecision&)> aOnDecision)
{
  m_onDecision = std::move(aOnDecision);
  if (m_requestOptions.m_ticket) {
    BeginTicket();
  } else if (m_requestOptions.m_idempotencyKey) {
    BeginClaim();
  } else {
    Resolve(RunLocally{});
  }
}

void OnceGuard::Resolve(const OnceDecision& aDecision)
{
  // Moved out first, to break the cycle: the callback owns the exchange, which owns this guard.
  const auto onDecision = std::exchange(m_onDecision, nullptr);
  if (onDecision) {
    onDecision(aDecision);
  }
}

void OnceGuard::BeginTicket()
{
  const once::RedeemResult redeemed = m_core.m_tickets.Redeem(
    *m_requestOptions.m_ticket, m_account, m_contentDigest, base::MonotonicNow());
  if (std::holds_alternative<once::RedeemRun>(redeemed)) {
    m_ticketRedeemed = true;
    Resolve(RunLocally{});
  } else if (const auto* remoteTicket = std::get_if<once::RedeemForward>(&redeemed)) {
    ResolveRemoteTicket(remoteTicket->m_incarnation,
                        base::MonotonicNow() + m_core.m_options.m_ticketHolderTimeout);
  } else if (const auto* replay = std::get_if<once::RedeemReplay>(&redeemed)) {
    Resolve(ReplayResponse{ replay->m_answer });
  } else {
    Resolve(std::get<base::Failure>(redeemed));
  }
}

void OnceGuard::ResolveRemoteTicket(std::string aIncarnation, base::TimePoint aGiveUpAt)
{
  const auto self = shared_from_this();
  const bool announced = m_core.m_keeper->FindTicketHolder(aIncarnation) != nullptr;
  if (announced || m_requestOptions.m_forwarded || base::MonotonicNow() >= aGiveUpAt) {
    m_holderTimer.reset();
    Resolve(ForwardToIncarnation(aIncarnation));
    return;
  }
  m_holderTimer = m_core.m_loop.After(kHolderCheckInterval, [self, aIncarnation, aGiveUpAt] {
    self->ResolveRemoteTicket(aIncarnation, aGiveUpAt);
  });
}

OnceDecision OnceGuard::ForwardToIncarnation(const std::string& aIncarnation) const
{
  // Forwards only to known members; an address taken from a caller's token would let callers
  // direct requests to arbitrary hosts.
  const membership::Member* holder = m_core.m_keeper->FindTicketHolder(aIncarnation);
  const bool canForward =
    holder != nullptr && !m_requestOptions.m_forwarded && holder->m_host != m_core.m_options.m_host;
  if (!canForward) {
    return MakeFailure(ErrorCode::TicketUnknown,
                       RunState::Unknown,
                       "the gate that holds the state of this request is unavailable");
  }
  return ForwardTo{ holder->m_gate };
}

void OnceGuard::BeginClaim()
{
  m_keyDigest = once::KeyDigest(m_account, *m_requestOptions.m_idempotencyKey);
  const auto self = shared_from_this();
  const base::Digest128 claim =
    m_core.m_claims.Claim(m_keyDigest, m_contentDigest, [self](const once::ClaimAction& aAction) {
      self->OnClaim(aAction);
    });
  if (!m_claimRejected) {
    m_claim = claim;
  }
}

void OnceGuard::OnClaim(const once::ClaimAction& aAction)
{
  if (std::holds_alternative<once::ClaimWon>(aAction)) {
    Resolve(RunLocally{});
    return;
  }
  m_claimRejected = true;
  m_claim.reset();
  if (const auto* lost = std::get_if<once::ClaimLost>(&aAction)) {
    Resolve(DecideLostClaim(lost->m_holder));
    return;
  }
  Resolve(MakeFailure(
    ErrorCode::ClaimLogUnavailable,
    RunState::NotRun,
    "the platform's log cannot settle the idempotency key now; the request was not run"));
}

OnceDecision OnceGuard::DecideLostClaim(const once::LiveClaim& aHolder) const
{
  if (aHolder.m_claim.m_request != m_contentDigest) {
    return MakeFailure(ErrorCode::KeyReusedForOtherRequest,
                       RunState::NotRun,
                       "the idempotency key was used for a different request");
  }
  if (const auto kept = m_core.m_claims.FindResponse(m_keyDigest)) {
    return ReplayResponse{ *kept };
  }
  const bool heldHere = aHolder.m_claim.m_claimant == m_core.m_options.m_incarnation;
  if (heldHere && !aHolder.m_done) {
    return MakeFailure(
      ErrorCode::ClaimPending, RunState::Unknown, "the request is still in progress");
  }
  if (heldHere) {
    return MakeFailure(ErrorCode::ClaimOutcomeUnknown,
                       RunState::Unknown,
                       "the request has ended and its response is no longer stored");
  }
  const OnceDecision forwardTo = ForwardToIncarnation(aHolder.m_claim.m_claimant);
  if (std::holds_alternative<ForwardTo>(forwardTo)) {
    return forwardTo;
  }
  return MakeFailure(ErrorCode::ClaimOutcomeUnknown,
                     RunState::Unknown,
                     "the gate that ran the request is unavailable");
}

void OnceGuard::Finish(const once::StoredAnswer& aAnswer)
{
  if (m_ticketRedeemed) {
    m_core.m_tickets.Finish(*m_requestOptions.m_ticket, aAnswer);
  } else if (m_claim) {
    m_core.m_claims.Complete(*m_claim, m_keyDigest, aAnswer);
  }
}

void OnceGuard::Fail(base::RunState aRun)
{
  const bool notRun = aRun == RunState::NotRun;
  if (m_ticketRedeemed && notRun) {
    m_core.m_tickets.CancelRedemption(*m_requestOptions.m_ticket);
  } else if (m_ticketRedeemed) {
    m_core.m_tickets.FinishWithoutAnswer(*m_requestOptions.m_ticket);
  } else if (m_claim && notRun) {
    m_core.m_claims.Release(*m_claim);
  } else if (m_claim) {
    m_core.m_claims.Complete(*m_claim, m_keyDigest, std::nullopt);
  }
}

} // namespace ferrytray::gate
