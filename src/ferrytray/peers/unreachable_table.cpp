#include "ferrytray/peers/unreachable_table.hpp"

#include <algorithm> // for count_if

namespace ferrytray::peers {

void UnreachableTable::OnReport(const std::string& aHost,
                                std::span<const EndpointTag> aEndpoints,
                                base::TimePoint aNow)
{
  for (auto& [endpoint, hosts] : m_reporters) {
    std::erase_if(hosts,
                  [&](const auto& aHost) { return aHost.second + m_options.m_retention <= aNow; });
  }
  std::erase_if(m_reporters, [](const auto& aEndpoint) { return aEndpoint.second.empty(); });
  for (const EndpointTag endpoint : aEndpoints) {
    m_reporters[endpoint][aHost] = aNow;
  }
}

bool UnreachableTable::IsUnreachable(EndpointTag aEndpoint, base::TimePoint aNow) const
{
  const auto found = m_reporters.find(aEndpoint);
  if (found == m_reporters.end()) {
    return false;
  }
  constexpr std::ptrdiff_t kMinReporters = 2;
  const auto reporters =
    std::count_if(found->second.begin(), found->second.end(), [&](const auto& aHost) {
      return aNow < aHost.second + m_options.m_retention;
    });
  return reporters >= kMinReporters;
}

} // namespace ferrytray::peers
