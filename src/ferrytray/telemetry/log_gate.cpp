#include "ferrytray/telemetry/log_gate.hpp"

#include <utility> // for exchange

namespace ferrytray::telemetry {

std::optional<std::uint64_t> LogGate::Take(std::string_view aCause, base::TimePoint aNow)
{
  auto found = m_causes.find(std::string(aCause));
  if (found == m_causes.end()) {
    if (m_causes.size() >= m_options.m_mostCauses) {
      std::erase_if(m_causes, [&](const auto& aPair) {
        return aNow >= aPair.second.m_loggedAt + m_options.m_every;
      });
    }
    if (m_causes.size() >= m_options.m_mostCauses) {
      return std::nullopt; // as many lines as may come in that time have come
    }
    m_causes.try_emplace(std::string(aCause), Cause{ aNow, 0 });
    return 0;
  }
  Cause& cause = found->second;
  if (aNow < cause.m_loggedAt + m_options.m_every) {
    ++cause.m_kept;
    return std::nullopt;
  }
  cause.m_loggedAt = aNow;
  return std::exchange(cause.m_kept, 0);
}

} // namespace ferrytray::telemetry
