#pragma once

#include <string> // for string

#include "ferrytray/fleet/configuration.hpp" // for ColdTraits, Service
#include "ferrytray/relay/relay_core.hpp"    // for RelayCore

namespace ferrytray::relay {

/// @brief What a service's endpoints bear after a start; null if nothing is declared.
[[nodiscard]] const fleet::ColdTraits* ColdTraitsOf(const RelayCore& aCore,
                                                    const std::string& aService);

/// @brief Requests a second that all hosts together may send to a cold endpoint.
[[nodiscard]] double BearableRate(const RelayCore& aCore, const fleet::ColdTraits& aTraits);

/// @brief Whether a request may be sent there now as far as its being cold goes.
[[nodiscard]] bool MaySendCold(const RelayCore& aCore,
                               const fleet::Endpoint& aEndpoint,
                               routing::ColdTrafficSource aUse,
                               base::TimePoint aNow);

/// @brief A request is sent there, or was given out to it.
void NoteColdSend(RelayCore& aCore,
                  const fleet::Endpoint& aEndpoint,
                  routing::ColdTrafficSource aUse,
                  base::TimePoint aNow);

/// @brief The endpoint was not reached, or nothing was sent to it for long: it may start anew, and
/// its own word of that comes late.
void SuspectColdStart(RelayCore& aCore, const fleet::Endpoint& aEndpoint, base::TimePoint aNow);

} // namespace ferrytray::relay
