#include "ferrytray/peers/unreachable_board.hpp"

#include <algorithm> // for count_if

namespace ferrytray::peers {

void UnreachableBoard::OnReport(const std::string& aHost,
                                std::span<const EndpointTag> aEndpoints,
                                base::TimePoint aNow)
{
  for (auto& [endpoint, hosts] : m_toldBy) {
    std::erase_if(hosts,
                  [&](const auto& aHost) { return aHost.second + m_options.m_keepFor <= aNow; });
  }
  std::erase_if(m_toldBy, [](const auto& aEndpoint) { return aEndpoint.second.empty(); });
  for (const EndpointTag endpoint : aEndpoints) {
    m_toldBy[endpoint][aHost] = aNow;
  }
}

bool UnreachableBoard::IsUnreachable(EndpointTag aEndpoint, base::TimePoint aNow) const
{
  const auto found = m_toldBy.find(aEndpoint);
  if (found == m_toldBy.end()) {
    return false;
  }
  constexpr std::ptrdiff_t kEnough = 2;
  const auto told =
    std::count_if(found->second.begin(), found->second.end(), [&](const auto& aHost) {
      return aNow < aHost.second + m_options.m_keepFor;
    });
  return told >= kEnough;
}

} // namespace ferrytray::peers
