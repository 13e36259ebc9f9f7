#pragma once

#include <cstdint> // for uint64_t, uint8_t
#include <vector>  // for vector

#include "ferrytray/quarantine/content_key.hpp" // for ContentKey
#include "ferrytray/quarantine/suspicion.hpp"   // for EndpointKey

namespace ferrytray::quarantine {

/// @brief Kind of observation a host made.
enum class NoticeKind : std::uint8_t
{
  ConnectionBroken, ///< an endpoint closed the connection before its answer was complete
  CompleteAnswer,   ///< an endpoint answered a request with this content completely
  KnownGood,        ///< the content was answered completely before its first crash
  ProbeStarted,     ///< a host sends a request with this quarantined content
  EndpointAlive,    ///< an endpoint that had closed the connection of a request with this content
                    ///< answered a later one, so it has not crashed
};

/// @brief One observation, exchanged between hosts.
struct CrashNotice
{
  NoticeKind m_kind = NoticeKind::ConnectionBroken;
  ContentKey m_content;
  EndpointKey m_endpoint = 0;   ///< of ProbeStarted: the number of probes so far
  std::uint64_t m_sequence = 0; ///< distinguishes otherwise equal observations
};

using CrashNotices = std::vector<CrashNotice>;

} // namespace ferrytray::quarantine
