#include "ferrytray/limits/brittle_services.hpp"

#include <algorithm> // for max, min

namespace ferrytray::limits {

base::TimePoint BrittleServices::EndOf(const Entry& aEntry) const
{
  const base::TimePoint end = aEntry.m_namedAt + m_options.m_retention;
  return aEntry.m_endedAt ? std::min(end, *aEntry.m_endedAt + m_options.m_retentionAfterEnd) : end;
}

bool BrittleServices::OnAnswer(ServiceKey aService,
                               bool aBrittle,
                               base::TimePoint aSentAt,
                               base::TimePoint aNow)
{
  if (aBrittle) {
    const bool isNew = !IsBrittle(aService, aNow);
    m_entries[aService] = { aNow, std::nullopt };
    return isNew;
  }
  const auto found = m_entries.find(aService);
  if (found != m_entries.end() && !found->second.m_endedAt && aSentAt > found->second.m_namedAt) {
    found->second.m_endedAt = aNow;
  }
  return false;
}

void BrittleServices::OnReport(const BrittleReport& aReport, base::TimePoint aNow)
{
  const std::chrono::milliseconds age(aReport.m_namedAgeMillis);
  if (age < base::Duration::zero() || age >= m_options.m_maxReportAge) {
    return;
  }
  Entry& entry = m_entries.try_emplace(aReport.m_service, Entry{ aNow - age, {} }).first->second;
  if (aNow - age > entry.m_namedAt) {
    entry = { aNow - age, std::nullopt };
  }
}

bool BrittleServices::IsBrittle(ServiceKey aService, base::TimePoint aNow) const
{
  const auto found = m_entries.find(aService);
  return found != m_entries.end() && aNow < EndOf(found->second);
}

BrittleReports BrittleServices::Reports(base::TimePoint aNow) const
{
  BrittleReports reports;
  for (const auto& pair : m_entries) {
    const Entry& entry = pair.second;
    const base::Duration age = std::max(aNow - entry.m_namedAt, base::Duration::zero());
    if (age < m_options.m_maxReportAge && !entry.m_endedAt) {
      reports.push_back({ pair.first, static_cast<std::int32_t>(base::ToMillis(age)) });
    }
  }
  return reports;
}

void BrittleServices::Expire(base::TimePoint aNow)
{
  std::erase_if(m_entries, [&](const auto& aPair) { return aNow >= EndOf(aPair.second); });
}

} // namespace ferrytray::limits
