#include "ferrytray/quarantine/record_keeper.hpp"

#include <utility> // for move

namespace ferrytray::quarantine {

void RecordReconciler::OnRecordRead(const RequestKey& aRequest, std::optional<Suspicion> aRecorded)
{
  m_entries[aRequest].m_recorded = std::move(aRecorded);
}

void RecordReconciler::OnWriteFinished(const RecordWrite& aWrite,
                                       bool aSucceeded,
                                       base::TimePoint aNow)
{
  Entry& entry = m_entries[aWrite.m_request];
  entry.m_writing = false;
  if (aSucceeded) {
    entry.m_recorded = aWrite.m_suspicion;
    entry.m_outOfDateSince.reset();
  } else {
    entry.m_retryAt = aNow + m_options.m_retryDelay;
  }
}

std::optional<Suspicion> RecordReconciler::DesiredRecord(const CrashTracker& aTracker,
                                                         const RequestKey& aRequest) const
{
  std::optional<Suspicion> known = aTracker.Find(aRequest);
  return known && known->m_crashedEndpoints.size() >= m_options.m_minCrashesToRecord ? known
                                                                                     : std::nullopt;
}

std::optional<base::Duration> RecordReconciler::DelayOf(const Entry& aEntry, WriterRole aRole) const
{
  if (aEntry.m_observedLocally) {
    return base::Duration::zero();
  }
  switch (aRole) {
    case WriterRole::Primary:
      return m_options.m_primaryDelay;
    case WriterRole::LogReader:
      return m_options.m_readerDelay;
    case WriterRole::NonWriter:
      break;
  }
  return std::nullopt;
}

std::vector<RecordWrite> RecordReconciler::DueWrites(
  const CrashTracker& aTracker,
  const std::function<WriterRole(const RequestKey&)>& aRoleOf,
  base::TimePoint aNow)
{
  for (const RequestKey& request : aTracker.RequestsWithCrashes(m_options.m_minCrashesToRecord)) {
    m_entries.try_emplace(request);
  }
  std::vector<RecordWrite> due;
  for (auto& [request, entry] : m_entries) {
    std::optional<Suspicion> wanted = DesiredRecord(aTracker, request);
    if (entry.m_writing) {
      continue;
    }
    if (wanted == entry.m_recorded) {
      entry.m_outOfDateSince.reset();
      entry.m_observedLocally = false;
      continue;
    }
    entry.m_outOfDateSince = entry.m_outOfDateSince.value_or(aNow);
    const std::optional<base::Duration> delay = DelayOf(entry, aRoleOf(request));
    const bool backingOff = entry.m_retryAt && aNow < *entry.m_retryAt;
    if (delay && !backingOff && aNow >= *entry.m_outOfDateSince + *delay) {
      entry.m_writing = true;
      due.push_back({ request, std::move(wanted) });
    }
  }
  std::erase_if(m_entries, [](const auto& aPair) {
    const Entry& entry = aPair.second;
    return !entry.m_recorded && !entry.m_writing && !entry.m_outOfDateSince;
  });
  return due;
}

std::vector<RequestKey> RecordReconciler::RecordedRequests() const
{
  std::vector<RequestKey> requests;
  for (const auto& [request, entry] : m_entries) {
    if (entry.m_recorded) {
      requests.push_back(request);
    }
  }
  return requests;
}

} // namespace ferrytray::quarantine
