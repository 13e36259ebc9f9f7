#include "ferrytray/limits/endpoint_limits.hpp"

#include <algorithm> // for clamp, partial_sort
#include <cmath>     // for isfinite

namespace ferrytray::limits {

namespace {

/// Error of an age that was sent over the network: two reports of one answer differ by less.
constexpr base::Duration kAgeTolerance = std::chrono::milliseconds(100);

} // namespace

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

LimitChange EndpointLimits::OnNamed(EndpointKey aEndpoint, double aLimit, base::TimePoint aNamedAt)
{
  const auto found = m_entries.find(aEndpoint);
  if (found == m_entries.end()) {
    if (m_entries.size() >= m_options.m_maxEntries) {
      return LimitChange::None;
    }
    m_entries[aEndpoint] = { aLimit, aNamedAt, aNamedAt, false };
    return LimitChange::Named;
  }
  Entry& entry = found->second;
  const bool applies =
    aLimit <= entry.m_limit || aNamedAt >= entry.m_appliedAt + m_options.m_raiseDelay;
  const bool changed = entry.m_lifted || (applies && aLimit != entry.m_limit);
  entry.m_lifted = false;
  entry.m_namedAt = aNamedAt;
  if (applies) {
    entry.m_limit = aLimit;
    entry.m_appliedAt = aNamedAt;
  }
  return changed ? LimitChange::Changed : LimitChange::None;
}

bool EndpointLimits::OnReport(const LimitReport& aReport, base::TimePoint aNow)
{
  const std::chrono::milliseconds age(aReport.m_namedAgeMillis);
  const bool plausible =
    IsRequestLimit(aReport.m_limit) && age >= base::Duration::zero() && age < m_options.m_retention;
  if (!plausible) {
    return false;
  }
  const base::TimePoint namedAt = aNow - age;
  const auto found = m_entries.find(aReport.m_endpoint);
  if (found == m_entries.end() || namedAt > found->second.m_namedAt + kAgeTolerance) {
    const bool isNew = OnNamed(aReport.m_endpoint, aReport.m_limit, namedAt) == LimitChange::Named;
    const auto entry = m_entries.find(aReport.m_endpoint);
    if (entry != m_entries.end()) {
      entry->second.m_lifted = aReport.m_lifted;
    }
    return isNew;
  }
  const bool sameNaming = namedAt + kAgeTolerance >= found->second.m_namedAt;
  found->second.m_lifted = found->second.m_lifted || (sameNaming && aReport.m_lifted);
  return false;
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

LimitReport EndpointLimits::ToReport(EndpointKey aEndpoint,
                                     const Entry& aEntry,
                                     base::TimePoint aNow)
{
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aEntry.m_namedAt);
  const auto millis = std::clamp<std::int64_t>(age.count(), 0, INT32_MAX);
  return { aEndpoint, aEntry.m_limit, static_cast<std::int32_t>(millis), aEntry.m_lifted };
}

std::optional<LimitReport> EndpointLimits::ReportOf(EndpointKey aEndpoint,
                                                    base::TimePoint aNow) const
{
  const auto found = m_entries.find(aEndpoint);
  return found == m_entries.end() ? std::nullopt
                                  : std::optional(ToReport(aEndpoint, found->second, aNow));
}

LimitReports EndpointLimits::Reports(base::TimePoint aNow) const
{
  LimitReports reports;
  for (const auto& [endpoint, entry] : m_entries) {
    if (aNow < entry.m_namedAt + m_options.m_maxReportAge) {
      reports.push_back(ToReport(endpoint, entry, aNow));
    }
  }
  if (reports.size() > m_options.m_maxReports) {
    const auto end = reports.begin() + static_cast<std::ptrdiff_t>(m_options.m_maxReports);
    std::partial_sort(
      reports.begin(), end, reports.end(), [](const LimitReport& aLeft, const LimitReport& aRight) {
        return aLeft.m_namedAgeMillis < aRight.m_namedAgeMillis;
      });
    reports.erase(end, reports.end());
  }
  return reports;
}

} // namespace ferrytray::limits
