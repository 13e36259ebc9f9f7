#pragma once

#include <cstdint> // for uint64_t, uint8_t
#include <vector>  // for vector

#include "ferrytray/quarantine/request_key.hpp" // for RequestKey

namespace ferrytray::quarantine {

/// @brief An endpoint's incarnation in few bytes.
using EndpointKey = std::uint64_t;

/// @brief What a host saw.
enum class NoticeKind : std::uint8_t
{
  ConnectionBroken, ///< an endpoint closed the connection before its answer to the request was
                    ///< whole
  CompleteAnswer,   ///< an endpoint answered it whole
  KnownGood,        ///< an endpoint had answered it whole before
  ProbeStarted,     ///< a host sends it once more though it is kept away
  EndpointAlive,    ///< an endpoint answered a request that was sent after it broke one off
};

/// @brief One observation that hosts pass on to each other.
struct CrashNotice
{
  NoticeKind m_kind = NoticeKind::ConnectionBroken;
  RequestKey m_request;
  EndpointKey m_endpoint = 0;
  std::uint64_t m_sequence = 0; ///< tells observations apart that are otherwise alike
};

using CrashNotices = std::vector<CrashNotice>;

} // namespace ferrytray::quarantine
