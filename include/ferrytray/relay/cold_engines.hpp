#pragma once

#include <string> // for string

#include "ferrytray/fleet/configuration.hpp" // for ColdTraits, Service
#include "ferrytray/relay/relay_core.hpp"    // for RelayCore

namespace ferrytray::relay {

/// @brief What a service's endpoints bear after a start; null if nothing is declared.
[[nodiscard]] const fleet::ColdTraits* FindColdTraits(const RelayCore& aCore,
                                                      const std::string& aService);

/// @brief Requests a second that all hosts together may send to a cold endpoint.
[[nodiscard]] double ColdRateLimit(const RelayCore& aCore, const fleet::ColdTraits& aTraits);

/// @brief Whether a request may be sent there now as far as its being cold goes.
[[nodiscard]] bool MaySendToCold(const RelayCore& aCore,
                                 const fleet::Endpoint& aEndpoint,
                                 routing::ColdUse aUse,
                                 base::TimePoint aNow);

/// @brief A request is sent there, or was given out to it.
void RecordColdSend(RelayCore& aCore,
                    const fleet::Endpoint& aEndpoint,
                    routing::ColdUse aUse,
                    base::TimePoint aNow);

/// @brief The endpoint was not reached, or nothing was sent to it for long: it may start anew, and
/// its own word of that comes late.
void SuspectColdStart(RelayCore& aCore, const fleet::Endpoint& aEndpoint, base::TimePoint aNow);

} // namespace ferrytray::relay
