#include "ferrytray/relay/cold_engines.hpp"

#include <algorithm> // for min

namespace ferrytray::relay {

const fleet::ColdTraits* ColdTraitsOf(const RelayCore& aCore, const std::string& aService)
{
  const fleet::Service* service =
    aCore.m_configuration ? aCore.m_configuration->FindService(aService) : nullptr;
  return service == nullptr || !service->m_cold ? nullptr : &*service->m_cold;
}

double BearableRate(const RelayCore& aCore, const fleet::ColdTraits& aTraits)
{
  const RelayOptions& options = aCore.m_options;
  // A bound under what the endpoint itself bears goes first.
  return std::min(aTraits.m_perSecond,
                  aTraits.m_perSecond * options.m_coldOvershoot + options.m_coldSlack);
}

bool MaySendCold(const RelayCore& aCore,
                 const fleet::Endpoint& aEndpoint,
                 routing::ColdTrafficSource aUse,
                 base::TimePoint aNow)
{
  const std::string& name = aEndpoint.m_incarnation;
  if (!aCore.m_cold.IsCold(name, aNow) || ColdTraitsOf(aCore, aEndpoint.m_service) == nullptr) {
    return true;
  }
  if (!aCore.m_cold.MaySend(name, aUse, aNow)) {
    return false;
  }
  return aUse == routing::ColdTrafficSource::Assigned ||
         (aCore.m_isAmongHosts && aCore.m_isAmongHosts(name, aCore.m_cold.SendersPerEngine()));
}

void NoteColdSend(RelayCore& aCore,
                  const fleet::Endpoint& aEndpoint,
                  routing::ColdTrafficSource aUse,
                  base::TimePoint aNow)
{
  const fleet::ColdTraits* traits = ColdTraitsOf(aCore, aEndpoint.m_service);
  if (traits != nullptr && aCore.m_cold.IsCold(aEndpoint.m_incarnation, aNow)) {
    aCore.m_cold.OnSent(aEndpoint.m_incarnation, aUse, BearableRate(aCore, *traits), aNow);
  }
}

void SuspectColdStart(RelayCore& aCore, const fleet::Endpoint& aEndpoint, base::TimePoint aNow)
{
  if (const fleet::ColdTraits* traits = ColdTraitsOf(aCore, aEndpoint.m_service)) {
    aCore.m_cold.OnRestartSuspected(aEndpoint.m_incarnation, traits->m_for, aNow);
  }
}

} // namespace ferrytray::relay
