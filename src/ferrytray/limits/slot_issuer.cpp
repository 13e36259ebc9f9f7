#include "ferrytray/limits/slot_issuer.hpp"

#include <algorithm> // for clamp, max, min

namespace ferrytray::limits {

std::uint32_t SlotIssuer::OpenAt(const Entry& aEntry, base::TimePoint aNow) const
{
  std::uint32_t open = 0;
  for (const auto& [host, report] : aEntry.m_reports) {
    open += aNow < report.m_at + m_options.m_reportLifetime ? report.m_open : 0;
  }
  return open;
}

std::uint32_t SlotIssuer::Open(EndpointKey aEndpoint, base::TimePoint aNow) const
{
  const auto found = m_entries.find(aEndpoint);
  return found == m_entries.end() ? 0 : OpenAt(found->second, aNow);
}

void SlotIssuer::OnReleased(Entry& aEntry,
                            std::uint32_t aCount,
                            std::uint32_t aOpen,
                            std::uint32_t aSlots,
                            base::TimePoint aNow)
{
  if (aEntry.m_releasedAt) {
    // With fewer open requests than slots, releases are rarer in the same proportion.
    const base::Duration interval =
      (aNow - *aEntry.m_releasedAt) * std::min(aOpen, aSlots) / (aCount * aSlots);
    constexpr int kWeight = 8; // of the former intervals together
    aEntry.m_releaseInterval = (aEntry.m_releaseInterval * (kWeight - 1) + interval) / kWeight;
  }
  aEntry.m_releasedAt = aNow;
}

void SlotIssuer::Apply(Entry& aEntry, const SlotRequest& aRequest, base::TimePoint aNow) const
{
  aEntry.m_requestedAt = aNow;
  Report& report = aEntry.m_reports[aRequest.m_host];
  if (aRequest.m_sequence <= report.m_sequence) {
    return; // overtaken by a later one
  }
  if (aRequest.m_open < report.m_open) {
    OnReleased(aEntry,
               report.m_open - aRequest.m_open,
               OpenAt(aEntry, aNow),
               std::max(aRequest.m_slots, 1U),
               aNow);
  }
  report = { aRequest.m_sequence, aRequest.m_open, aNow };
  if (aRequest.m_rejections > 0) {
    ++aEntry.m_heldBack;
    aEntry.m_heldBackUntil = aNow + m_options.m_rejectionTime;
  }
}

std::uint32_t SlotIssuer::Capacity(const Entry& aEntry,
                                   std::uint32_t aSlots,
                                   base::TimePoint aNow) const
{
  const std::uint32_t slots = std::max(aSlots, 1U);
  const bool learns = aNow < aEntry.m_createdAt + m_options.m_learnTime;
  const std::uint32_t heldBack = std::min(aEntry.m_heldBack, slots - 1);
  return std::max((slots - heldBack) / (learns ? 2 : 1), 1U);
}

base::Duration SlotIssuer::RetryDelay(Entry& aEntry, base::TimePoint aNow) const
{
  const base::TimePoint earliest = aNow + m_options.m_minRetryDelay;
  const base::TimePoint retryAt =
    std::min(std::max(aEntry.m_nextRetry, earliest), aNow + m_options.m_maxRetryDelay);
  aEntry.m_nextRetry = retryAt + base::FromSeconds(base::Seconds(aEntry.m_releaseInterval) /
                                                   m_options.m_retriesPerRelease);
  return retryAt - aNow;
}

SlotDecision SlotIssuer::Request(const SlotRequest& aRequest, base::TimePoint aNow)
{
  auto found = m_entries.find(aRequest.m_endpoint);
  if (found == m_entries.end()) {
    if (m_entries.size() >= m_options.m_maxEntries) {
      return { 0, m_options.m_maxRetryDelay };
    }
    Entry entry;
    entry.m_createdAt = aNow;
    entry.m_nextRetry = aNow;
    entry.m_releaseInterval = m_options.m_releaseInterval;
    found = m_entries.emplace(aRequest.m_endpoint, std::move(entry)).first;
  }
  Entry& entry = found->second;
  if (aNow >= entry.m_heldBackUntil) {
    entry.m_heldBack = 0;
  }
  Apply(entry, aRequest, aNow);
  const std::uint32_t capacity = Capacity(entry, aRequest.m_slots, aNow);
  const std::uint32_t open = OpenAt(entry, aNow);
  const std::uint32_t granted = std::min(aRequest.m_wanted, open < capacity ? capacity - open : 0);
  Report& report = entry.m_reports[aRequest.m_host];
  report.m_open += granted;
  report.m_at = aNow;
  return { granted,
           granted < aRequest.m_wanted ? RetryDelay(entry, aNow) : base::Duration::zero() };
}

void SlotIssuer::Expire(base::TimePoint aNow)
{
  std::erase_if(m_entries, [&](const auto& aPair) {
    return aPair.second.m_requestedAt + m_options.m_retention <= aNow;
  });
  for (auto& [endpoint, entry] : m_entries) {
    std::erase_if(entry.m_reports, [&](const auto& aPair) {
      return aPair.second.m_at + m_options.m_retention <= aNow;
    });
  }
}

} // namespace ferrytray::limits
