#pragma once

#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/relay/relay_core.hpp" // for RelayCore, ReplyHead

namespace ferrytray::relay {

/// @brief Records that an endpoint announces its shutdown in an answer: it gets no new requests.
/// The first announcement is logged. An unknown value is logged and otherwise ignored.
void RecordLeaving(RelayCore& aCore,
                   const std::string& aIncarnation,
                   const ReplyHead& aHead,
                   base::TimePoint aNow);

/// @brief Records the backoff that an endpoint requests in an answer, or that it requests none, and
/// logs its beginning. A delay that is no valid number is logged and otherwise ignored.
/// @param aSentAt when the answered request was sent
/// @see limits::EndpointBackoffs
void RecordBackoff(RelayCore& aCore,
                   const std::string& aIncarnation,
                   const ReplyHead& aHead,
                   base::TimePoint aSentAt,
                   base::TimePoint aNow);

/// @brief Returns when the endpoint's backoff ends, until which it gets no request of this host;
/// empty if it is not in backoff.
[[nodiscard]] std::optional<base::TimePoint> BackoffEndsAt(const RelayCore& aCore,
                                                           const std::string& aIncarnation,
                                                           base::TimePoint aNow);

/// @brief Logs a header of an endpoint's answer that has an invalid value, with code 8006; at most
/// one line in ten seconds.
/// @param aEvent the event's name in the log
void LogInvalidHeader(RelayCore& aCore,
                      const char* aEvent,
                      const std::string& aIncarnation,
                      std::string_view aWhy,
                      base::TimePoint aNow);

} // namespace ferrytray::relay
