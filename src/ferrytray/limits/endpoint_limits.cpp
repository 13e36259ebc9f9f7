#include "ferrytray/limits/endpoint_limits.hpp"

#include <cmath> // for isfinite

namespace ferrytray::limits {

bool IsRequestLimit(double aLimit)
{
  return std::isfinite(aLimit) && aLimit >= 0;
}

LimitChange EndpointLimits::OnAnswer(EndpointKey aEndpoint,
                                     std::optional<double> aLimit,
                                     base::TimePoint aSentAt,
                                     base::TimePoint aNow)
{
  if (aLimit) {
    return OnNamed(aEndpoint, *aLimit, aNow);
  }
  const auto found = m_entries.find(aEndpoint);
  if (found == m_entries.end() || found->second.m_lifted || aSentAt <= found->second.m_namedAt) {
    return LimitChange::None;
  }
  found->second.m_lifted = true;
  return LimitChange::Lifted;
}

LimitChange EndpointLimits::OnNamed(EndpointKey aEndpoint, double aLimit, base::TimePoint aNow)
{
  const auto found = m_entries.find(aEndpoint);
  if (found == m_entries.end()) {
    if (m_entries.size() >= m_options.m_maxEntries) {
      return LimitChange::None;
    }
    m_entries[aEndpoint] = { aLimit, aNow, aNow, false };
    return LimitChange::Named;
  }
  Entry& entry = found->second;
  const bool applies =
    aLimit <= entry.m_limit || aNow >= entry.m_appliedAt + m_options.m_raiseDelay;
  const bool changed = entry.m_lifted || (applies && aLimit != entry.m_limit);
  entry.m_lifted = false;
  entry.m_namedAt = aNow;
  if (applies) {
    entry.m_limit = aLimit;
    entry.m_appliedAt = aNow;
  }
  return changed ? LimitChange::Changed : LimitChange::None;
}

void EndpointLimits::Expire(base::TimePoint aNow)
{
  std::erase_if(m_entries, [&](const auto& aPair) {
    return aPair.second.m_namedAt + m_options.m_retention <= aNow;
  });
}

std::optional<double> EndpointLimits::Limit(EndpointKey aEndpoint) const
{
  const auto found = m_entries.find(aEndpoint);
  return found == m_entries.end() ? std::nullopt : std::optional(found->second.m_limit);
}

} // namespace ferrytray::limits
