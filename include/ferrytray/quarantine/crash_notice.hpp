#pragma once

#include <cstdint> // for uint64_t, uint8_t
#include <vector>  // for vector

#include "ferrytray/quarantine/request_key.hpp" // for RequestKey

namespace ferrytray::quarantine {

/// @brief Hash of an endpoint's incarnation.
using EndpointKey = std::uint64_t;

/// @brief Kind of observation a host made.
enum class NoticeKind : std::uint8_t
{
  ConnectionBroken, ///< an endpoint closed the connection before its answer was complete
  CompleteAnswer,   ///< an endpoint answered the request completely
  KnownGood,        ///< the request was answered completely before its first crash
  ProbeStarted,     ///< a host sends the quarantined request once more
  EndpointAlive,    ///< an endpoint that had closed the connection of this request answered a later
                    ///< one, so it has not crashed
};

/// @brief One observation, exchanged between hosts.
struct CrashNotice
{
  NoticeKind m_kind = NoticeKind::ConnectionBroken;
  RequestKey m_request;
  EndpointKey m_endpoint = 0;
  std::uint64_t m_sequence = 0; ///< distinguishes otherwise equal observations
};

using CrashNotices = std::vector<CrashNotice>;

} // namespace ferrytray::quarantine
