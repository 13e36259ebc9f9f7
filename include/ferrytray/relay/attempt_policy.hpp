#pragma once

#include <cstdint>     // for uint32_t, uint8_t
#include <string_view> // for string_view

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::relay {

/// @brief How one send to an endpoint ended, when it did not end in a success.
enum class AttemptOutcome : std::uint8_t
{
  NotSent,    ///< no byte of the request reached the endpoint
  NotRun,     ///< the endpoint states that it has not run it
  ErrorReply, ///< a whole reply that is not a success; it has run
  Broken,     ///< sent, and the reply is missing, cut short or not this request's: it may have run
};

/// @brief The word for it in logs.
std::string_view ToString(AttemptOutcome aOutcome);

/// @brief What is done with the request next.
enum class NextStep : std::uint8_t
{
  Retry,        ///< send it again, or let the stream go on, at another endpoint
  ForwardReply, ///< give the endpoint's own failure to the caller
  Refuse,       ///< not run, and never will be
  FailUnknown,  ///< it may have run
  AbortReply,   ///< part of the answer is with the caller: close without an end
};

/// @brief What decides the next step.
struct RetryContext
{
  AttemptOutcome m_outcome = AttemptOutcome::Broken;
  bool m_repeatable = false;         ///< the route allows to run it again
  bool m_replyStarted = false;       ///< the caller has part of the answer
  bool m_mayHaveRun = false;         ///< at this or an earlier endpoint
  bool m_forwardable = false;        ///< the failure is a whole reply that the caller may get
  std::uint32_t m_endpointsUsed = 0; ///< endpoints on which it ran or may have run
  std::uint32_t m_maxEndpoints = 1;
  std::uint32_t m_sends = 1;
  base::Duration m_remaining{}; ///< until the answer is due
};

struct AttemptLimits
{
  /// Sends of one request, refused ones included; the shared retry budget is the tighter bound.
  std::uint32_t m_maxSends = 4;
  /// With less time left, another send would only be thrown away.
  base::Duration m_minRemaining = std::chrono::milliseconds(60);
};

/// @brief Whether another send is allowed, but for the shared budget of repeats.
[[nodiscard]] bool MayRetry(const RetryContext& aContext, const AttemptLimits& aLimits);

/// @brief Decides what happens after a send that did not succeed.
/// @param aRetryGranted MayRetry() held and the budget granted the repeat
[[nodiscard]] NextStep DecideNextStep(const RetryContext& aContext, bool aRetryGranted);

} // namespace ferrytray::relay
