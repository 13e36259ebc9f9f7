#pragma once

#include <string> // for string

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

} // namespace ferrytray::relay
