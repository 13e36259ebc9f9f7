#pragma once

#include <optional> // for optional
#include <string>   // for string

#include "ferrytray/relay/relay_core.hpp" // for RelayCore, ReplyHead

namespace ferrytray::relay {

/// @brief Records the request limit that an endpoint names in an answer, or that it names none, and
/// logs changes. A limit that is no valid number is logged and otherwise ignored.
/// @param aSentAt when the answered request was sent
void RecordRequestLimit(RelayCore& aCore,
                        const std::string& aIncarnation,
                        const ReplyHead& aHead,
                        base::TimePoint aSentAt,
                        base::TimePoint aNow);

/// @brief Whether requests to the endpoint need permits.
[[nodiscard]] bool NeedsPermit(const RelayCore& aCore, const std::string& aIncarnation);

/// @brief Returns until when this host gets no permit for the endpoint; empty if it may send or ask
/// for one.
[[nodiscard]] std::optional<base::TimePoint> PermitDeniedUntil(const RelayCore& aCore,
                                                               const std::string& aIncarnation,
                                                               base::TimePoint aNow);

} // namespace ferrytray::relay
