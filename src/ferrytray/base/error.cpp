#include "ferrytray/base/error.hpp"

#include <utility> // for move

namespace ferrytray::base {

std::string_view ToString(RunState aState)
{
  return aState == RunState::NotRun ? "not_run" : "unknown";
}

int HttpStatus(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::BodyTooLarge:
      return 413;
    case ErrorCode::HeaderTooLarge:
      return 431;
    case ErrorCode::UnknownPath:
    case ErrorCode::UnknownModel:
      return 404;
    case ErrorCode::MethodNotAllowed:
      return 405;
    case ErrorCode::MissingKey:
    case ErrorCode::UnknownKey:
      return 401;
    case ErrorCode::RateLimited:
    case ErrorCode::ConcurrencyLimited:
    case ErrorCode::QueueFull:
      return 429;
    case ErrorCode::TicketInUse:
    case ErrorCode::ClaimPending:
    case ErrorCode::ClaimOutcomeUnknown:
    case ErrorCode::KeyReusedForOtherRequest:
    case ErrorCode::TicketUnknown:
    case ErrorCode::ConfigConflict:
      return 409;
    case ErrorCode::TicketForeign:
      return 403;
    case ErrorCode::EndpointBroke:
    case ErrorCode::EndpointFailed:
    case ErrorCode::VersionMismatch:
      return 502;
    case ErrorCode::DeadlineExceeded:
      return 504;
    case ErrorCode::OtherHalfOwns:
      return 421;
    default:
      break;
  }
  constexpr int kFirstServerErrorCode = 3000;
  const int number = static_cast<int>(aCode);
  const bool clientError = number < kFirstServerErrorCode || (number >= 7000 && number < 8000);
  return clientError ? 400 : 503;
}

tl::unexpected<Failure> Fail(ErrorCode aCode, std::string aMessage)
{
  return tl::unexpected<Failure>(Failure{ aCode, std::move(aMessage), RunState::NotRun, {} });
}

} // namespace ferrytray::base
