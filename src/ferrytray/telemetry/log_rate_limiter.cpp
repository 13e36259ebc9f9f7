#include "ferrytray/telemetry/log_rate_limiter.hpp"

#include <utility> // for exchange

namespace ferrytray::telemetry {

std::optional<std::uint64_t> LogRateLimiter::Admit(std::string_view aCause, base::TimePoint aNow)
{
  auto found = m_causes.find(std::string(aCause));
  if (found == m_causes.end()) {
    if (m_causes.size() >= m_options.m_maxCauses) {
      std::erase_if(m_causes, [&](const auto& aPair) {
        return aNow >= aPair.second.m_loggedAt + m_options.m_interval;
      });
    }
    if (m_causes.size() >= m_options.m_maxCauses) {
      return std::nullopt; // the maximum number of causes was logged in this interval
    }
    m_causes.try_emplace(std::string(aCause), Cause{ aNow, 0 });
    return 0;
  }
  Cause& cause = found->second;
  if (aNow < cause.m_loggedAt + m_options.m_interval) {
    ++cause.m_suppressed;
    return std::nullopt;
  }
  cause.m_loggedAt = aNow;
  return std::exchange(cause.m_suppressed, 0);
}

} // namespace ferrytray::telemetry
