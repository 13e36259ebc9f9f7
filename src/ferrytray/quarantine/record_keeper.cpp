#include "ferrytray/quarantine/record_keeper.hpp"

#include <utility> // for move

namespace ferrytray::quarantine {

void RecordReconciler::OnRecordRead(const ContentKey& aContent, std::optional<Suspicion> aRecorded)
{
  m_entries[aContent].m_recorded = std::move(aRecorded);
}

void RecordReconciler::OnWriteFinished(const RecordWrite& aWrite,
                                       bool aSucceeded,
                                       base::TimePoint aNow)
{
  Entry& entry = m_entries[aWrite.m_content];
  entry.m_writing = false;
  if (aSucceeded) {
    entry.m_recorded = aWrite.m_suspicion;
    entry.m_outOfDateSince.reset();
  } else {
    entry.m_retryAt = aNow + m_options.m_retryDelay;
  }
}

std::optional<Suspicion> RecordReconciler::DesiredRecord(const CrashTracker& aTracker,
                                                         const ContentKey& aContent) const
{
  std::optional<Suspicion> known = aTracker.Find(aContent);
  return known && known->m_crashedEndpoints.size() >= m_options.m_minCrashesToRecord ? known
                                                                                     : std::nullopt;
}

std::optional<base::Duration> RecordReconciler::DelayOf(const ContentKey& aContent,
                                                        const Entry& aEntry,
                                                        WriterRole aRole) const
{
  if (aEntry.m_observedLocally) {
    return IsPart(aContent) ? m_options.m_partDelay : base::Duration::zero();
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
  const std::function<WriterRole(const ContentKey&)>& aRoleOf,
  base::TimePoint aNow)
{
  for (const ContentKey& content : aTracker.ContentWithCrashes(m_options.m_minCrashesToRecord)) {
    m_entries.try_emplace(content);
  }
  std::vector<RecordWrite> due;
  for (auto& [content, entry] : m_entries) {
    std::optional<Suspicion> wanted = DesiredRecord(aTracker, content);
    if (entry.m_writing) {
      continue;
    }
    if (wanted == entry.m_recorded) {
      entry.m_outOfDateSince.reset();
      entry.m_observedLocally = false;
      continue;
    }
    entry.m_outOfDateSince = entry.m_outOfDateSince.value_or(aNow);
    const std::optional<base::Duration> delay = DelayOf(content, entry, aRoleOf(content));
    const bool backingOff = entry.m_retryAt && aNow < *entry.m_retryAt;
    if (delay && !backingOff && aNow >= *entry.m_outOfDateSince + *delay) {
      entry.m_writing = true;
      due.push_back({ content, std::move(wanted) });
    }
  }
  std::erase_if(m_entries, [](const auto& aPair) {
    const Entry& entry = aPair.second;
    return !entry.m_recorded && !entry.m_writing && !entry.m_outOfDateSince;
  });
  return due;
}

std::vector<ContentKey> RecordReconciler::RecordedContent() const
{
  std::vector<ContentKey> contents;
  for (const auto& [content, entry] : m_entries) {
    if (entry.m_recorded) {
      contents.push_back(content);
    }
  }
  return contents;
}

} // namespace ferrytray::quarantine
