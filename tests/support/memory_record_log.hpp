#pragma once

#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/store/record_log.hpp" // for RecordLog

namespace support {

/// A record log in memory. Reads are answered immediately, whatever wait they allow.
class MemoryRecordLog final : public ferrytray::store::RecordLog
{
public:
  using Topic = std::vector<ferrytray::store::Record>;

  void ReadSnapshot(const std::string& aTopic,
                    ferrytray::store::Done<ferrytray::store::Snapshot> aDone) override
  {
    ++m_reads;
    ++m_readsByTopic[aTopic];
    ++m_snapshotReadsByTopic[aTopic];
    if (m_down) {
      aDone(Down());
      return;
    }
    ferrytray::store::Snapshot snapshot;
    snapshot.m_end = m_topics[aTopic].size();
    std::map<std::string, ferrytray::store::Record> newest;
    for (const auto& record : m_topics[aTopic]) {
      newest[record.m_key] = record;
    }
    for (const auto& [key, record] : newest) {
      snapshot.m_records.push_back(record);
    }
    aDone(std::move(snapshot));
  }

  void Read(const std::string& aTopic,
            ferrytray::store::Offset aFrom,
            ferrytray::base::Duration,
            ferrytray::base::Duration,
            ferrytray::store::Done<ferrytray::store::Batch> aDone) override
  {
    ++m_reads;
    ++m_readsByTopic[aTopic];
    if (aTopic == m_unansweredTopic) {
      return;
    }
    if (m_down) {
      aDone(Down());
      return;
    }
    const Topic& topic = m_topics[aTopic];
    ferrytray::store::Batch batch;
    batch.m_end = topic.size();
    for (std::size_t i = aFrom; i < topic.size(); ++i) {
      batch.m_records.push_back(topic[i]);
    }
    aDone(std::move(batch));
  }

  void Append(const std::string&,
              std::string_view,
              ferrytray::store::Offset,
              ferrytray::store::Done<ferrytray::store::AppendResult> aDone) override
  {
    aDone(Down());
  }

  void AppendKeyed(const std::string& aTopic,
                   std::string_view aKey,
                   std::string_view aValue,
                   ferrytray::store::Done<ferrytray::store::AppendResult> aDone) override
  {
    if (m_down) {
      aDone(Down());
      return;
    }
    Topic& topic = m_topics[aTopic];
    topic.push_back({ topic.size(), std::string(aKey), std::string(aValue), aValue.empty() });
    aDone(ferrytray::store::AppendResult{ true, topic.size() - 1, topic.size() });
  }

  void AppendKeyedAt(const std::string& aTopic,
                     std::string_view aKey,
                     std::string_view aValue,
                     ferrytray::store::Offset aExpectedEnd,
                     ferrytray::store::Done<ferrytray::store::AppendResult> aDone) override
  {
    if (!m_down && m_topics[aTopic].size() != aExpectedEnd) {
      aDone(ferrytray::store::AppendResult{ false, 0, m_topics[aTopic].size() });
      return;
    }
    AppendKeyed(aTopic, aKey, aValue, std::move(aDone));
  }

  bool m_down = false;
  std::string
    m_unansweredTopic; ///< reads of this topic, except of its snapshot, are never answered
  std::size_t m_reads = 0;
  std::map<std::string, std::size_t> m_readsByTopic; ///< by topic, snapshots included
  std::map<std::string, std::size_t> m_snapshotReadsByTopic;
  std::map<std::string, Topic> m_topics;

private:
  static tl::unexpected<ferrytray::base::Failure> Down()
  {
    return ferrytray::base::Fail(ferrytray::base::ErrorCode::PlatformUnavailable, "down");
  }
};

} // namespace support
