#include "ferrytray/peers/backoff_table.hpp"

#include <algorithm> // for count_if, find_if, min, min_element, partial_sort
#include <chrono>    // for milliseconds

namespace ferrytray::peers {

namespace {

/// Hosts whose reports an endpoint needs; reports of further hosts are not kept.
constexpr std::size_t kReportsNeeded = 2;

} // namespace

void BackoffTable::OnNotice(const BackoffNotice& aNotice, base::TimePoint aNow)
{
  const base::Duration endsIn = std::min<base::Duration>(
    std::chrono::milliseconds(aNotice.m_endsInMillis), m_options.m_maxDuration);
  const bool isKnown = m_backoffs.contains(aNotice.m_endpoint);
  if (endsIn <= base::Duration::zero() ||
      (!isKnown && m_backoffs.size() >= m_options.m_maxEntries)) {
    return;
  }
  const base::TimePoint until = aNow + endsIn;
  std::vector<Report>& reports = m_backoffs[aNotice.m_endpoint];
  const auto known = std::find_if(reports.begin(), reports.end(), [&](const Report& aReport) {
    return aReport.m_host == aNotice.m_host;
  });
  if (known != reports.end()) {
    if (until >= known->m_until + m_options.m_endTolerance) {
      known->m_until = until;
    }
    return;
  }
  if (reports.size() < kReportsNeeded) {
    reports.push_back({ aNotice.m_host, until });
    return;
  }
  const auto endsFirst =
    std::min_element(reports.begin(), reports.end(), [](const Report& aLeft, const Report& aRight) {
      return aLeft.m_until < aRight.m_until;
    });
  if (until >= endsFirst->m_until + m_options.m_endTolerance) {
    *endsFirst = { aNotice.m_host, until };
  }
}

bool BackoffTable::IsInBackoff(IncarnationKey aEndpoint, base::TimePoint aNow) const
{
  const auto found = m_backoffs.find(aEndpoint);
  if (found == m_backoffs.end()) {
    return false;
  }
  const auto open = std::count_if(found->second.begin(),
                                  found->second.end(),
                                  [&](const Report& aReport) { return aNow < aReport.m_until; });
  return static_cast<std::size_t>(open) >= kReportsNeeded;
}

BackoffNotices BackoffTable::Notices(base::TimePoint aNow) const
{
  BackoffNotices notices;
  for (const auto& [endpoint, reports] : m_backoffs) {
    for (const Report& report : reports) {
      const auto endsIn =
        std::chrono::duration_cast<std::chrono::milliseconds>(report.m_until - aNow).count();
      if (endsIn > 0) {
        notices.push_back({ endpoint, report.m_host, static_cast<std::int32_t>(endsIn) });
      }
    }
  }
  if (notices.size() > m_options.m_maxNotices) {
    const auto end = notices.begin() + static_cast<std::ptrdiff_t>(m_options.m_maxNotices);
    std::partial_sort(
      notices.begin(), end, notices.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.m_endsInMillis > aRight.m_endsInMillis;
      });
    notices.erase(end, notices.end());
  }
  return notices;
}

void BackoffTable::Expire(base::TimePoint aNow)
{
  for (auto& [endpoint, reports] : m_backoffs) {
    std::erase_if(reports, [&](const Report& aReport) { return aReport.m_until <= aNow; });
  }
  std::erase_if(m_backoffs, [](const auto& aPair) { return aPair.second.empty(); });
}

} // namespace ferrytray::peers
