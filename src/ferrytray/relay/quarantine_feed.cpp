#include "ferrytray/relay/quarantine_feed.hpp"

#include <algorithm> // for binary_search, count_if
#include <utility>   // for move

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/peers/messages.hpp"          // for DecodeSuspicion, Encode
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine

namespace ferrytray::relay {

namespace {

/// Interval of checks for changes to record. Changes made by this host are recorded at once.
constexpr base::Duration kRecordInterval = std::chrono::milliseconds(500);

/// After a claim that was not granted; every append is charged.
constexpr base::Duration kClaimBackoff = std::chrono::milliseconds(300);

void LogChange(const RelayCore& aCore, const quarantine::ContentKey& aContent, const char* aOutcome)
{
  const std::optional<quarantine::Suspicion> known = aCore.m_crashes.Find(aContent);
  std::string endpoints;
  for (const fleet::Endpoint* endpoint : aCore.m_directory.All()) {
    const quarantine::EndpointKey key = peers::KeyOf(endpoint->m_incarnation);
    if (known && std::binary_search(
                   known->m_crashedEndpoints.begin(), known->m_crashedEndpoints.end(), key)) {
      endpoints += (endpoints.empty() ? "" : ",") + endpoint->m_incarnation;
    }
  }
  telemetry::LogLine("quarantine")
    .Add("content", quarantine::IsPart(aContent) ? "part" : "request")
    .Add("key", base::ToHex(aContent))
    .Add("outcome", aOutcome)
    .Add("crashes", known ? known->m_crashedEndpoints.size() : 0)
    .Add("listed_endpoints", endpoints)
    .Add("answered_before", known && known->m_knownGood ? "yes" : "no")
    .Add("probes", known ? known->m_probes : 0);
}

} // namespace

QuarantineFeed::QuarantineFeed(RelayCore& aCore,
                               store::RecordLog& aLog,
                               std::string aTopic,
                               const FeedOptions& aOptions)
  : m_core(aCore)
  , m_log(aLog)
  , m_topicName(std::move(aTopic))
  , m_roleOf([](const quarantine::ContentKey&) { return quarantine::WriterRole::NonWriter; })
{
  store::FollowOptions follow;
  follow.m_topic = m_topicName;
  follow.m_wait = aOptions.m_quarantineWait;
  follow.m_shortWait = aOptions.m_quarantineWait;
  follow.m_pause = {};
  follow.m_replyTimeout = aOptions.m_quarantineGrace;
  follow.m_maxUpdateAge = aOptions.m_quarantinePeerMaxAge;
  follow.m_maxTakeoverDelay = aOptions.m_quarantineTakeoverDelay;
  store::FollowEvents events;
  events.m_onRecord = [this](const store::Record& aRecord) {
    OnRecord(aRecord);
    return true;
  };
  events.m_onSnapshot = [this](const std::set<std::string>& aKeys) { OnSnapshot(aKeys); };
  events.m_onUnreachable = [this](const base::Failure& aFailure) {
    telemetry::LogLine("dependency_lost")
      .Add("dependency", "record_log")
      .Add("topic", m_topicName)
      .Add("why", aFailure.m_message);
  };
  events.m_onContact = [this](bool aRecovered, base::TimePoint) {
    if (aRecovered) {
      telemetry::LogLine("dependency_back")
        .Add("dependency", "record_log")
        .Add("topic", m_topicName);
    }
  };
  m_topic = std::make_shared<store::TopicFollower>(
    aCore.m_loop, aLog, std::move(follow), std::move(events));
}

void QuarantineFeed::Start()
{
  m_recordTimer = m_core.m_loop.Every(kRecordInterval, [this] { OnTrackerChanged(); });
}

void QuarantineFeed::Stop()
{
  m_stopped = true;
  m_recordTimer.reset();
  m_topic->Stop();
}

void QuarantineFeed::OnLocalChange(std::span<const quarantine::ContentKey> aContent)
{
  for (const quarantine::ContentKey& content : aContent) {
    m_reconciler.OnLocalObservation(content);
  }
  OnTrackerChanged();
}

void QuarantineFeed::OnTrackerChanged()
{
  LogChanges();
  if (m_stopped || !m_core.m_crashesLoaded) {
    return;
  }
  for (const quarantine::RecordWrite& write :
       m_reconciler.DueWrites(m_core.m_crashes, m_roleOf, base::MonotonicNow())) {
    Write(write);
  }
}

void QuarantineFeed::Write(const quarantine::RecordWrite& aWrite)
{
  const std::string value = aWrite.m_suspicion ? peers::Encode(*aWrite.m_suspicion) : "";
  m_log.AppendKeyed(m_topicName,
                    base::ToHex(aWrite.m_content),
                    value,
                    [this, aWrite](const base::Result<store::AppendResult>& aResult) {
                      m_reconciler.OnWriteFinished(
                        aWrite, aResult.has_value(), base::MonotonicNow());
                      if (!aResult) {
                        telemetry::LogLine("quarantine")
                          .Add("key", base::ToHex(aWrite.m_content))
                          .Add("outcome", "not_recorded")
                          .Add("why", aResult.error().m_message);
                      }
                    });
}

void QuarantineFeed::ClaimProbe(std::span<const quarantine::ContentKey> aContent,
                                std::function<void(bool)> aDone)
{
  const store::TopicCursor cursor = m_topic->Cursor();
  if (m_stopped || m_isClaiming || cursor.m_unread || base::MonotonicNow() < m_nextClaimAt) {
    aDone(false);
    return;
  }
  m_isClaiming = true;
  ContinueClaim({ aContent.begin(), aContent.end() }, 0, cursor.m_next, std::move(aDone));
}

void QuarantineFeed::ContinueClaim(std::vector<quarantine::ContentKey> aContent,
                                   std::size_t aNext,
                                   store::Offset aTopicEnd,
                                   std::function<void(bool)> aDone)
{
  const bool isDone = aNext == aContent.size();
  std::optional<quarantine::Suspicion> known =
    isDone ? std::nullopt : m_core.m_crashes.Find(aContent[aNext]);
  if (isDone || !known || m_stopped) {
    m_isClaiming = false;
    aDone(isDone && !m_stopped);
    return;
  }
  // Recorded before the send, so that the number of probes holds even if all hosts crash after it.
  ++known->m_probes;
  const quarantine::ContentKey content = aContent[aNext];
  const std::uint8_t probes = known->m_probes;
  m_log.AppendKeyedAt(
    m_topicName,
    base::ToHex(content),
    peers::Encode(*known),
    aTopicEnd,
    [this, aContent = std::move(aContent), aNext, content, probes, done = std::move(aDone)](
      const base::Result<store::AppendResult>& aResult) mutable {
      const bool isClaimed = aResult && aResult->m_appended;
      if (!isClaimed) {
        m_isClaiming = false;
        m_nextClaimAt = base::MonotonicNow() + kClaimBackoff;
        m_topic->RestartRead(); // this host lacks a record of the topic
        telemetry::LogLine("quarantine")
          .Add("key", base::ToHex(content))
          .Add("outcome", "not_claimed")
          .Add("why", aResult ? "another record was appended" : aResult.error().m_message);
        done(false);
        return;
      }
      m_core.m_crashes.OnProbeStarted(content, probes, base::MonotonicNow());
      LogChange(m_core, content, "probed");
      ContinueClaim(std::move(aContent), aNext + 1, aResult->m_offset + 1, std::move(done));
    });
}

void QuarantineFeed::OnRecord(const store::Record& aRecord)
{
  const std::optional<quarantine::ContentKey> content = base::DigestFromHex(aRecord.m_key);
  if (!content) {
    m_core.m_unreadable.Note(
      aRecord,
      base::Fail(base::ErrorCode::PlatformMalformed, "the record key is not the key of content")
        .value());
    return;
  }
  if (aRecord.m_removed) {
    m_core.m_crashes.OnRecordRemoved(*content);
    m_reconciler.OnRecordRead(*content, std::nullopt);
    LogChanges();
    return;
  }
  base::Result<quarantine::Suspicion> read = peers::DecodeSuspicion(aRecord.m_value);
  if (!read) {
    m_core.m_unreadable.Note(aRecord, read.error());
    return;
  }
  m_core.m_crashes.OnRecord(*content, *read, base::MonotonicNow());
  m_reconciler.OnRecordRead(*content, std::move(*read));
  LogChanges();
}

void QuarantineFeed::OnSnapshot(const std::set<std::string>& aKeys)
{
  m_core.m_crashesLoaded = true;
  for (const quarantine::ContentKey& content : m_reconciler.RecordedContent()) {
    if (!aKeys.contains(base::ToHex(content))) {
      m_core.m_crashes.OnRecordRemoved(content);
      m_reconciler.OnRecordRead(content, std::nullopt);
    }
  }
  LogChanges();
}

void QuarantineFeed::LogChanges()
{
  const std::set<quarantine::ContentKey>& now = m_core.m_crashes.Quarantined();
  if (now == m_loggedContent) {
    return;
  }
  for (const quarantine::ContentKey& content : now) {
    if (!m_loggedContent.contains(content)) {
      LogChange(m_core, content, "begun");
    }
  }
  for (const quarantine::ContentKey& content : m_loggedContent) {
    if (!now.contains(content)) {
      LogChange(m_core, content, "ended");
    }
  }
  m_loggedContent = now;
  const auto parts = std::count_if(now.begin(), now.end(), quarantine::IsPart);
  m_core.m_metrics.Set("quarantined_parts", static_cast<double>(parts));
  m_core.m_metrics.Set("quarantined_requests",
                       static_cast<double>(now.size()) - static_cast<double>(parts));
}

} // namespace ferrytray::relay
