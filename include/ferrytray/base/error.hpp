#pragma once

#include <cstdint>     // for uint16_t
#include <string>      // for string
#include <string_view> // for string_view

#include <tl/expected.hpp> // for expected, unexpected

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::base {

/// @brief Numbered error codes. docs/ERRORS.md documents them for callers.
enum class ErrorCode : std::uint16_t
{
  MalformedJson = 1001,
  MissingField = 1002,
  InvalidField = 1003,
  BodyTooLarge = 1004,
  HeaderTooLarge = 1005,
  UnknownPath = 1006,
  MethodNotAllowed = 1007,

  MissingKey = 2001,
  UnknownKey = 2002,
  UnknownModel = 2003,

  RateLimited = 3001,
  ConcurrencyLimited = 3002,
  DeadlineUnreachable = 3003,
  QueueFull = 3004,
  TableFull = 3005,
  EnginesFull = 3006,
  RequestQuarantined = 3007,
  EndpointsLimited = 3008,
  EndpointsInBackoff = 3009,

  NoEndpoint = 4001,
  EndpointUnreachable = 4002,
  EndpointRefused = 4003,
  EndpointBroke = 4004,
  DeadlineExceeded = 4005,
  VersionMismatch = 4006,
  EndpointFailed = 4007,

  TicketUnknown = 5001,
  TicketInUse = 5002,
  ClaimPending = 5003,
  ClaimLogUnavailable = 5004,
  ClaimOutcomeUnknown = 5005,
  KeyReusedForOtherRequest = 5006,
  TicketForeign = 5007,

  NotReady = 6001,
  ShuttingDown = 6002,
  OtherHalfOwns = 6003,

  ConfigSyntax = 7001,
  ConfigUnknownKey = 7002,
  ConfigMissingKey = 7003,
  ConfigDuplicate = 7004,
  ConfigDanglingReference = 7005,
  ConfigBadValue = 7006,
  ConfigTooLarge = 7007,
  ConfigConflict = 7008,
  ConfigUnreadable = 7009,

  PlatformUnavailable = 8001,
  PlatformMalformed = 8002,
  SettingInvalid = 8003,
  ListenFailed = 8004,
  PeerMalformed = 8005,
  EndpointMalformed = 8006,
};

/// @brief Whether a request has run, as far as the system can know.
enum class RunState : std::uint8_t
{
  NotRun,  ///< no byte reached an endpoint, or the endpoint refused before starting
  Unknown, ///< it may have run
};

/// @brief The name of a run state in replies: "not_run" or "unknown".
std::string_view ToString(RunState aState);

/// @brief The HTTP status for an error code.
/// @param aCode any error code
/// @return a status from 400 to 599
int HttpStatus(ErrorCode aCode);

/// @brief An error to report to a caller or an operator.
struct Failure
{
  ErrorCode m_code = ErrorCode::NotReady;
  std::string m_message;
  RunState m_run = RunState::NotRun;
  Duration m_retryAfter{}; ///< zero: no advice on when to retry
};

/// @brief A value or a Failure.
template<typename T>
using Result = tl::expected<T, Failure>;

/// @brief Builds the error of a Result for a request that has not run.
/// @param aCode the numbered error code
/// @param aMessage a human-readable sentence
///
/// @code
/// return base::Fail(base::ErrorCode::MissingField, "field 'model' is missing");
/// @endcode
tl::unexpected<Failure> Fail(ErrorCode aCode, std::string aMessage);

} // namespace ferrytray::base
