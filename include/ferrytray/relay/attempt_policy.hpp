#pragma once

#include <cstdint>     // for uint32_t, uint8_t
#include <string_view> // for string_view

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::relay {

/// @brief The outcome of an unsuccessful attempt to send a request to an endpoint.
enum class AttemptOutcome : std::uint8_t
{
  NotSent,    ///< no byte of the request reached the endpoint
  NotRun,     ///< the endpoint reports that it has not executed the request
  ErrorReply, ///< complete reply with an error status; the request was executed
  Broken,     ///< sent, but the reply is missing, truncated or invalid; the request may have been
              ///< executed
};

/// @brief The value of the "end" key in log lines.
std::string_view ToString(AttemptOutcome aOutcome);

/// @brief What the exchange does after an unsuccessful attempt.
enum class NextStep : std::uint8_t
{
  Retry,        ///< resend the request, or resume the stream, at another endpoint
  ForwardReply, ///< forward the endpoint's error reply to the caller
  Refuse,       ///< answer with an error: the request was not executed and will not be
  FailUnknown,  ///< answer with an error: the request may have been executed
  AbortReply,   ///< the caller has part of the reply: close the connection without an end
};

/// @brief The state of a request on which the next step depends.
struct RetryContext
{
  AttemptOutcome m_outcome = AttemptOutcome::Broken;
  bool m_repeatable = false;         ///< the route allows the request to be executed more than once
  bool m_replyStarted = false;       ///< part of the reply was sent to the caller
  bool m_mayHaveRun = false;         ///< by this or an earlier endpoint
  bool m_forwardable = false;        ///< the error reply may be forwarded to the caller
  std::uint32_t m_endpointsUsed = 0; ///< endpoints that executed or may have executed the request
  std::uint32_t m_maxEndpoints = 1;
  std::uint32_t m_sends = 1;
  base::Duration m_remaining{}; ///< until the deadline
};

struct AttemptLimits
{
  /// Sends per request, including refused ones. The shared retry budget usually limits sends
  /// earlier.
  std::uint32_t m_maxSends = 4;
  /// With less time remaining, another send could not be answered before the deadline.
  base::Duration m_minRemaining = std::chrono::milliseconds(60);
};

/// @brief Whether a failed attempt is retried, and if not, why.
enum class RetryVerdict : std::uint8_t
{
  Allowed,
  SendLimit,       ///< the maximum number of sends per request is reached
  TooLittleTime,   ///< another send could not be answered before the deadline
  EndpointLimit,   ///< the route's maximum number of endpoints is reached
  MayHaveRun,      ///< the request may be executed only once, and it may have been
  Quarantined,     ///< identical requests crashed the endpoints that ran them
  BudgetExhausted, ///< the retry budget of the service does not allow it
};

/// @brief The value of the "retry" key in log lines and of the "retry" label of metrics.
std::string_view ToString(RetryVerdict aVerdict);

/// @brief Whether the request itself allows another send; checks neither quarantine nor budget.
[[nodiscard]] RetryVerdict CheckRetry(const RetryContext& aContext, const AttemptLimits& aLimits);

/// @brief Decides what happens after an unsuccessful attempt.
/// @param aRetryGranted the final verdict is RetryVerdict::Allowed
[[nodiscard]] NextStep DecideNextStep(const RetryContext& aContext, bool aRetryGranted);

} // namespace ferrytray::relay
