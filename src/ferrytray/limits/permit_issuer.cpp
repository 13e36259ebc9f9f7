#include "ferrytray/limits/permit_issuer.hpp"

#include <algorithm> // for clamp, max, min
#include <cmath>     // for pow

namespace ferrytray::limits {

namespace {

/// Higher limits are treated as this one, which no endpoint reaches.
constexpr double kMaxRate = 1e6;

} // namespace

base::Duration PermitIssuer::GrowthTime(const Entry& aEntry, base::TimePoint aNow) const
{
  return aEntry.m_liftedAt
           ? std::max(aNow - *aEntry.m_liftedAt - m_options.m_holdTime, base::Duration::zero())
           : base::Duration::zero();
}

double PermitIssuer::Rate(const Entry& aEntry, double aLimit, base::TimePoint aNow) const
{
  const double limit = std::clamp(aLimit, m_options.m_minRate, kMaxRate);
  const double growth =
    std::pow(m_options.m_growthPerSecond, base::Seconds(GrowthTime(aEntry, aNow)));
  return std::min(limit * growth, kMaxRate);
}

double PermitIssuer::Burst(double aRate) const
{
  return std::max(m_options.m_minBurst, aRate * base::Seconds(m_options.m_burstTime));
}

void PermitIssuer::UpdateLifted(Entry& aEntry,
                                const LimitReport& aReport,
                                base::TimePoint aNow) const
{
  const base::Duration namedAge = std::chrono::milliseconds(aReport.m_namedAgeMillis);
  if (!aReport.m_lifted && namedAge < m_options.m_silentTime) {
    aEntry.m_liftedAt.reset();
    aEntry.m_unlimited = false;
    return;
  }
  if (!aEntry.m_liftedAt) {
    aEntry.m_liftedAt = aNow;
  }
  const base::Duration growth = GrowthTime(aEntry, aNow);
  const bool noDenials =
    growth >= m_options.m_idleTime && aNow >= aEntry.m_deniedAt + m_options.m_idleTime;
  aEntry.m_unlimited = aEntry.m_unlimited || noDenials || growth >= m_options.m_growthTime;
}

PermitDecision PermitIssuer::Request(const LimitReport& aReport,
                                     double aShare,
                                     base::TimePoint aNow)
{
  auto found = m_entries.find(aReport.m_endpoint);
  if (found == m_entries.end()) {
    if (m_entries.size() >= m_options.m_maxEntries) {
      return { 0, false, m_options.m_maxRetryDelay };
    }
    // The endpoint has just received its usual load, so it starts with one token.
    const Entry entry{ TokenBucket(1, 1, aNow), aNow, aNow, aNow, {}, false };
    found = m_entries.emplace(aReport.m_endpoint, entry).first;
  }
  Entry& entry = found->second;
  entry.m_requestedAt = aNow;
  UpdateLifted(entry, aReport, aNow);
  if (entry.m_unlimited) {
    return { 0, true, {} };
  }
  const double rate = aShare * Rate(entry, aReport.m_limit, aNow);
  entry.m_bucket.SetRate(rate, Burst(rate), aNow);
  const auto batch = std::max(1, static_cast<int>(rate * base::Seconds(m_options.m_batchTime)));
  std::uint32_t granted = 0;
  while (granted < static_cast<std::uint32_t>(batch) && entry.m_bucket.TryTake(aNow)) {
    ++granted;
  }
  return granted > 0 ? PermitDecision{ granted, false, {} } : Deny(entry, rate, aNow);
}

PermitDecision PermitIssuer::Deny(Entry& aEntry, double aRate, base::TimePoint aNow) const
{
  const base::TimePoint latest = aNow + m_options.m_maxRetryDelay;
  const base::TimePoint tokenAt = aNow + aEntry.m_bucket.WaitForToken(aNow);
  const base::TimePoint retryAt = std::min(std::max(aEntry.m_nextRetry, tokenAt), latest);
  aEntry.m_nextRetry = retryAt + base::FromSeconds(1.0 / (aRate * m_options.m_retriesPerPermit));
  aEntry.m_deniedAt = aNow;
  return { 0, false, retryAt - aNow };
}

void PermitIssuer::Expire(base::TimePoint aNow)
{
  std::erase_if(m_entries, [&](const auto& aPair) {
    return aPair.second.m_requestedAt + m_options.m_retention <= aNow;
  });
}

} // namespace ferrytray::limits
