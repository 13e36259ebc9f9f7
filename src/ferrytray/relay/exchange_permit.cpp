// Sending to endpoints that limit their requests.
#include "ferrytray/relay/exchange.hpp"

#include <algorithm> // for find, max, min
#include <utility>   // for move

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/relay/permit_client.hpp"     // for PermitClient
#include "ferrytray/relay/request_limits.hpp"    // for NeedsPermit

namespace ferrytray::relay {

namespace {

/// Permits that may be denied for one request; each costs a round trip between hosts. After that,
/// only endpoints without a limit are tried.
constexpr std::uint32_t kMaxPermitsDenied = 3;

constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(50);

} // namespace

void Exchange::SendToLimited(const Target& aTarget)
{
  const fleet::Endpoint& endpoint = *aTarget.m_endpoint;
  if (m_core.m_permits.TryTake(peers::KeyOf(endpoint.m_incarnation), base::MonotonicNow())) {
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
    if (!aGranted) {
      self->OnPermitDenied(incarnation);
      return;
    }
    const fleet::Endpoint* endpoint = self->m_core.m_directory.Find(incarnation);
    if (self->IsStillUsable(endpoint)) {
      self->SendTo({ endpoint, partSource, openWork, false });
    } else {
      self->Send();
    }
  };
  m_core.m_permitClient->Request(endpoint, std::move(onReply));
}

void Exchange::OnPermitDenied(const std::string& aIncarnation)
{
  if (const auto until = PermitDeniedUntil(m_core, aIncarnation, base::MonotonicNow())) {
    m_nextPermitAt = std::min(m_nextPermitAt.value_or(*until), *until);
  }
  if (++m_permitsDenied >= kMaxPermitsDenied) {
    ExcludeLimitedEndpoints();
  }
  Send();
}

bool Exchange::IsStillUsable(const fleet::Endpoint* aEndpoint) const
{
  const std::vector<const fleet::Endpoint*>& usable = m_core.m_directory.Usable(m_service);
  return aEndpoint != nullptr &&
         std::find(usable.begin(), usable.end(), aEndpoint) != usable.end() &&
         !IsBlockedByQuarantine();
}

void Exchange::ExcludeLimitedEndpoints()
{
  for (const fleet::Endpoint* endpoint : m_core.m_directory.Usable(m_service)) {
    if (NeedsPermit(m_core, endpoint->m_incarnation)) {
      m_triedEndpoints.insert(endpoint->m_incarnation);
    }
  }
}

void Exchange::FailWithoutEndpoint(std::optional<base::TimePoint> aNextPermitAt)
{
  if (aNextPermitAt) {
    m_nextPermitAt = std::min(m_nextPermitAt.value_or(*aNextPermitAt), *aNextPermitAt);
  }
  const bool limited = m_nextPermitAt || m_permitsDenied > 0;
  const char* why = limited ? "the request limits of the service's endpoints leave no room"
                            : "no endpoint of the service is usable";
  if (m_replyStarted) {
    AbortReply(why);
  } else if (m_mayHaveRun) {
    FailUnknown(base::ErrorCode::EndpointBroke, why);
  } else if (!limited) {
    Refuse(base::ErrorCode::NoEndpoint, why);
  } else {
    const base::TimePoint now = base::MonotonicNow();
    const base::Duration wait = m_nextPermitAt.value_or(now) - now;
    SendFailure({ base::ErrorCode::EndpointsLimited,
                  why,
                  base::RunState::NotRun,
                  std::max(wait, kMinRetryAfter) });
  }
}

} // namespace ferrytray::relay
