// Sending to brittle endpoints, which get a request only into a free slot. Requests wait for slots
// at the host.
#include "ferrytray/relay/exchange.hpp"

#include <algorithm> // for clamp, max, min
#include <utility>   // for move

#include "ferrytray/relay/slot_client.hpp" // for NeedsSlot, SlotClient

namespace ferrytray::relay {

namespace {

/// Part of the time until its deadline that a request may wait for a slot; the rest is left for the
/// endpoint.
constexpr int kMaxWaitDivisor = 2;

/// Requests that may wait regardless of the estimate: if none waits, no slot is granted, and the
/// estimate cannot improve.
constexpr std::size_t kMinWaiting = 2;

constexpr base::Duration kMinWait = std::chrono::milliseconds(2);
constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(50);

} // namespace

void Exchange::SendWithSlot(const Target& aTarget)
{
  const fleet::Endpoint& endpoint = *aTarget.m_endpoint;
  if (!NeedsSlot(m_core, endpoint.m_service, base::MonotonicNow())) {
    SendTo(aTarget);
    return;
  }
  auto onReply = [weak = weak_from_this(),
                  incarnation = endpoint.m_incarnation,
                  partSource = aTarget.m_partSource,
                  openWork = aTarget.m_openWork](bool aGranted) {
    const auto self = weak.lock();
    if (!self || self->m_done) {
      return;
    }
    const fleet::Endpoint* endpoint = self->m_core.m_directory.Find(incarnation);
    if (aGranted && self->IsStillUsable(endpoint)) {
      self->m_core.m_slotWaits[self->m_service].OnGranted(base::MonotonicNow());
      self->SendTo({ endpoint, partSource, openWork, false });
    } else {
      self->Send();
    }
  };
  m_core.m_slotClient->Request(endpoint, std::move(onReply));
}

bool Exchange::TryWaitForSlot(base::TimePoint aNextSlotAt)
{
  const base::TimePoint now = base::MonotonicNow();
  const base::TimePoint latest = m_arrivedAt + (m_deadlineAt - m_arrivedAt) / kMaxWaitDivisor;
  std::size_t& waiting = m_core.m_waitingForSlot[m_service];
  if (!m_slotWaitBegun && waiting >= kMinWaiting) {
    const auto expected = m_core.m_slotWaits[m_service].Expected(waiting - kMinWaiting, now);
    if (expected && now + *expected > latest) {
      m_nextSlotAt = now + *expected;
      return false;
    }
  }
  const base::TimePoint retryAt = std::max(aNextSlotAt, now + kMinWait);
  if (retryAt > latest) {
    m_nextSlotAt = retryAt;
    return false;
  }
  m_slotWaitBegun = true;
  ++waiting;
  m_slotTimer = m_core.m_loop.After(retryAt - now, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->m_done) {
      --self->m_core.m_waitingForSlot[self->m_service];
      self->m_slotTimer.reset();
      self->Send();
    }
  });
  return true;
}

void Exchange::StopWaitingForSlot()
{
  if (m_slotTimer) {
    --m_core.m_waitingForSlot[m_service];
    m_slotTimer.reset();
  }
}

void Exchange::FailWithoutSlot()
{
  const char* why = "all slots of the service's endpoints are taken";
  if (m_replyStarted) {
    AbortReply(why);
  } else if (m_mayHaveRun) {
    FailUnknown(base::ErrorCode::EndpointBroke, why);
  } else {
    const base::Duration wait = m_nextSlotAt.value_or(m_arrivedAt) - base::MonotonicNow();
    SendFailure({ base::ErrorCode::EndpointsLimited,
                  why,
                  base::RunState::NotRun,
                  std::max({ wait, m_core.m_options.m_retryAfterDelay, kMinRetryAfter }) });
  }
}

} // namespace ferrytray::relay
