#pragma once

#include <string> // for string
#include <vector> // for vector

#include "ferrytray/membership/member.hpp"    // for Member
#include "ferrytray/replay/config_replay.hpp" // for ConfigReplay
#include "ferrytray/wire/frames.hpp"          // for EndpointStatus

namespace ferrytray::keeper {

/// State of a keeper as shown to operators.
struct StatusView
{
  const std::string& m_host;
  const replay::ConfigReplay& m_replay;
  bool m_ready = false;
  bool m_logReachable = false;
  std::vector<membership::Member> m_members;
  std::vector<wire::EndpointStatus> m_endpoints;
};

/// Renders the reply body of GET /status.
std::string StatusJson(const StatusView& aView);

} // namespace ferrytray::keeper
