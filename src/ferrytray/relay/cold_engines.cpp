#include "ferrytray/relay/cold_engines.hpp"

#include <algorithm> // for min

namespace ferrytray::relay {

const fleet::ColdTraits* FindColdTraits(const RelayCore& aCore, const std::string& aService)
{
  const fleet::Service* service =
    aCore.m_configuration ? aCore.m_configuration->FindService(aService) : nullptr;
  return service == nullptr || !service->m_cold ? nullptr : &*service->m_cold;
}

double ColdRateLimit(const RelayCore& aCore, const fleet::ColdTraits& aTraits)
{
  const RelayOptions& options = aCore.m_options;
  // The operators' bound applies if it is below the endpoint's declared rate.
  return std::min(aTraits.m_requestsPerSecond,
                  aTraits.m_requestsPerSecond * options.m_coldOvershoot + options.m_coldSlack);
}

bool MaySendToCold(const RelayCore& aCore,
                   const fleet::Endpoint& aEndpoint,
                   routing::ColdTrafficSource aSource,
                   base::TimePoint aNow)
{
  const std::string& incarnation = aEndpoint.m_incarnation;
  if (!aCore.m_coldStarts.IsCold(incarnation, aNow) ||
      FindColdTraits(aCore, aEndpoint.m_service) == nullptr) {
    return true;
  }
  if (!aCore.m_coldStarts.MaySend(incarnation, aSource, aNow)) {
    return false;
  }
  return aSource == routing::ColdTrafficSource::Assigned ||
         (aCore.m_isAmongFirstHosts &&
          aCore.m_isAmongFirstHosts(incarnation, aCore.m_coldStarts.SendersPerEngine()));
}

void RecordColdSend(RelayCore& aCore,
                    const fleet::Endpoint& aEndpoint,
                    routing::ColdTrafficSource aSource,
                    base::TimePoint aNow)
{
  const fleet::ColdTraits* traits = FindColdTraits(aCore, aEndpoint.m_service);
  if (traits != nullptr && aCore.m_coldStarts.IsCold(aEndpoint.m_incarnation, aNow)) {
    aCore.m_coldStarts.OnSent(
      aEndpoint.m_incarnation, aSource, ColdRateLimit(aCore, *traits), aNow);
  }
}

void SuspectColdStart(RelayCore& aCore, const fleet::Endpoint& aEndpoint, base::TimePoint aNow)
{
  if (const fleet::ColdTraits* traits = FindColdTraits(aCore, aEndpoint.m_service)) {
    aCore.m_coldStarts.OnRestartSuspected(aEndpoint.m_incarnation, traits->m_duration, aNow);
  }
}

} // namespace ferrytray::relay
