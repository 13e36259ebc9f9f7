#pragma once

#include <string> // for string

#include "ferrytray/fleet/configuration.hpp" // for ColdTraits, Service
#include "ferrytray/relay/relay_core.hpp"    // for RelayCore

namespace ferrytray::relay {

/// @brief The load that a service's endpoints accept after a start; null if none is declared.
[[nodiscard]] const fleet::ColdTraits* FindColdTraits(const RelayCore& aCore,
                                                      const std::string& aService);

/// @brief Requests per second that all hosts together may send to a cold endpoint.
[[nodiscard]] double ColdRateLimit(const RelayCore& aCore, const fleet::ColdTraits& aTraits);

/// @brief Whether the rate limit of cold endpoints permits a send to this one now.
[[nodiscard]] bool MaySendToCold(const RelayCore& aCore,
                                 const fleet::Endpoint& aEndpoint,
                                 routing::ColdTrafficSource aSource,
                                 base::TimePoint aNow);

/// @brief Counts a request that is sent to the endpoint or assigned to it.
void RecordColdSend(RelayCore& aCore,
                    const fleet::Endpoint& aEndpoint,
                    routing::ColdTrafficSource aSource,
                    base::TimePoint aNow);

/// @brief Treats the endpoint as cold because it was unreachable or received no requests for long:
/// it may have restarted, and its own report of that arrives late.
void SuspectColdStart(RelayCore& aCore, const fleet::Endpoint& aEndpoint, base::TimePoint aNow);

} // namespace ferrytray::relay
