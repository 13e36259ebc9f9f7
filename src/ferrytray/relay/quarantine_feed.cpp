#include "ferrytray/relay/quarantine_feed.hpp"

#include <utility> // for exchange, move

#include "ferrytray/peers/messages.hpp"     // for DecodeSuspicion, Encode
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::relay {

namespace {

/// Interval of checks for changes to record. Changes made by this host are recorded at once.
constexpr base::Duration kRecordInterval = std::chrono::milliseconds(500);

void LogChange(const quarantine::RequestKey& aRequest, const char* aOutcome)
{
  telemetry::LogLine("quarantine")
    .Add("request_key", base::ToHex(aRequest))
    .Add("outcome", aOutcome);
}

} // namespace

QuarantineFeed::QuarantineFeed(RelayCore& aCore,
                               store::RecordLog& aLog,
                               std::string aTopic,
                               const FeedOptions& aOptions)
  : m_core(aCore)
  , m_log(aLog)
  , m_topicName(std::move(aTopic))
  , m_roleOf([](const quarantine::RequestKey&) { return quarantine::WriterRole::NonWriter; })
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

void QuarantineFeed::OnLocalChange(const quarantine::RequestKey& aRequest)
{
  m_reconciler.OnLocalObservation(aRequest);
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
                    base::ToHex(aWrite.m_request),
                    value,
                    [this, aWrite](const base::Result<store::AppendResult>& aResult) {
                      m_reconciler.OnWriteFinished(
                        aWrite, aResult.has_value(), base::MonotonicNow());
                      if (!aResult) {
                        telemetry::LogLine("quarantine")
                          .Add("request_key", base::ToHex(aWrite.m_request))
                          .Add("outcome", "not_recorded")
                          .Add("why", aResult.error().m_message);
                      }
                    });
}

void QuarantineFeed::ClaimProbe(const quarantine::RequestKey& aRequest,
                                std::function<void(bool)> aDone)
{
  std::optional<quarantine::Suspicion> known = m_core.m_crashes.Find(aRequest);
  if (m_stopped || !known || !m_pendingClaims.insert(aRequest).second) {
    aDone(false);
    return;
  }
  // Recorded before the send, so that no host probes again even if all hosts crash after it.
  known->m_probed = true;
  m_log.AppendKeyed(
    m_topicName,
    base::ToHex(aRequest),
    peers::Encode(*known),
    [this, aRequest, done = std::move(aDone)](const base::Result<store::AppendResult>& aResult) {
      m_pendingClaims.erase(aRequest);
      // The topic may return this record before the append is acknowledged, so a set
      // m_probed flag does not mean that another host probed. Only the first host in the hash order
      // claims, or two if hosts disagree on it.
      const bool granted = aResult && m_core.m_crashes.IsQuarantined(aRequest) && !m_stopped;
      if (granted) {
        m_core.m_crashes.OnProbeStarted(aRequest, base::MonotonicNow());
        LogChange(aRequest, "tried");
      }
      done(granted);
    });
}

void QuarantineFeed::OnRecord(const store::Record& aRecord)
{
  const std::optional<quarantine::RequestKey> request = base::DigestFromHex(aRecord.m_key);
  if (!request) {
    m_core.m_unreadable.Note(
      aRecord,
      base::Fail(base::ErrorCode::PlatformMalformed, "the record key is not a request key")
        .value());
    return;
  }
  if (aRecord.m_removed) {
    m_core.m_crashes.OnRecordRemoved(*request);
    m_reconciler.OnRecordRead(*request, std::nullopt);
    LogChanges();
    return;
  }
  base::Result<quarantine::Suspicion> read = peers::DecodeSuspicion(aRecord.m_value);
  if (!read) {
    m_core.m_unreadable.Note(aRecord, read.error());
    return;
  }
  m_core.m_crashes.OnRecord(*request, *read, base::MonotonicNow());
  m_reconciler.OnRecordRead(*request, std::move(*read));
  LogChanges();
}

void QuarantineFeed::OnSnapshot(const std::set<std::string>& aKeys)
{
  m_core.m_crashesLoaded = true;
  for (const quarantine::RequestKey& request : m_reconciler.RecordedRequests()) {
    if (!aKeys.contains(base::ToHex(request))) {
      m_core.m_crashes.OnRecordRemoved(request);
      m_reconciler.OnRecordRead(request, std::nullopt);
    }
  }
  LogChanges();
}

void QuarantineFeed::LogChanges()
{
  std::set<quarantine::RequestKey> now;
  for (const quarantine::RequestKey& request : m_core.m_crashes.QuarantinedRequests()) {
    now.insert(request);
  }
  if (now == m_loggedRequests) {
    return;
  }
  for (const quarantine::RequestKey& request : now) {
    if (!m_loggedRequests.contains(request)) {
      LogChange(request, "begun");
    }
  }
  for (const quarantine::RequestKey& request : m_loggedRequests) {
    if (!now.contains(request)) {
      LogChange(request, "ended");
    }
  }
  m_loggedRequests = std::move(now);
  m_core.m_metrics.Set("quarantined_requests", static_cast<double>(m_loggedRequests.size()));
}

} // namespace ferrytray::relay
