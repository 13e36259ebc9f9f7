#include "ferrytray/limits/permit_table.hpp"

namespace ferrytray::limits {

void PermitTable::OnGranted(EndpointKey aEndpoint, std::uint32_t aCount, base::TimePoint aUntil)
{
  m_entries[aEndpoint] = { aCount, aUntil, {} };
}

void PermitTable::OnDenied(EndpointKey aEndpoint, base::TimePoint aUntil)
{
  m_entries[aEndpoint] = { 0, {}, aUntil };
}

bool PermitTable::TryTake(EndpointKey aEndpoint, base::TimePoint aNow)
{
  const auto found = m_entries.find(aEndpoint);
  if (found == m_entries.end() || found->second.m_permits == 0 ||
      aNow >= found->second.m_permitsUntil) {
    return false;
  }
  --found->second.m_permits;
  return true;
}

void PermitTable::Expire(base::TimePoint aNow)
{
  std::erase_if(m_entries, [&](const auto& aPair) {
    return aPair.second.m_permitsUntil <= aNow && aPair.second.m_deniedUntil <= aNow;
  });
}

std::optional<base::TimePoint> PermitTable::DeniedUntil(EndpointKey aEndpoint,
                                                        base::TimePoint aNow) const
{
  const auto found = m_entries.find(aEndpoint);
  if (found == m_entries.end() || found->second.m_deniedUntil <= aNow) {
    return std::nullopt;
  }
  return found->second.m_deniedUntil;
}

} // namespace ferrytray::limits
