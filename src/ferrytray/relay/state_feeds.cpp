#include "ferrytray/relay/state_feeds.hpp"

#include <algorithm> // for max
#include <utility>   // for move

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/relay/cold_engines.hpp"      // for SuspectColdStart
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine

namespace ferrytray::relay {

namespace {

/// The users' platform judges a host only from 3 s after its start.
constexpr base::Duration kStartupGrace = std::chrono::milliseconds(2500);

/// Log lines on endpoints per interval. A host of a large fleet reads thousands of entries at its
/// start, and formatting their lines would take longer than reading them.
constexpr std::size_t kMaxEndpointLines = 400;
constexpr base::Duration kEndpointLineInterval = std::chrono::seconds(1);

} // namespace

StateFeeds::StateFeeds(RelayCore& aCore,
                       store::RecordLog& aLog,
                       const RecordFormat& aFormat,
                       const FeedOptions& aOptions)
  : m_core(aCore)
  , m_format(aFormat)
{
  store::FollowOptions operators;
  operators.m_topic = aFormat.OperatorTopic();
  operators.m_wait = aOptions.m_operatorWait;
  operators.m_pause = {};
  operators.m_replyTimeout = aOptions.m_operatorGrace;
  operators.m_maxUpdateAge = aOptions.m_operatorPeerMaxAge;
  operators.m_maxTakeoverDelay = aOptions.m_operatorTakeoverDelay;
  store::FollowEvents onOperators = MakeFollowEvents(operators.m_topic);
  onOperators.m_onRecord = [this](const store::Record& aRecord) {
    OnOperatorRecord(aRecord);
    return true;
  };
  onOperators.m_onSnapshot = [this](const std::set<std::string>& aKeys) {
    OnOperatorSnapshot(aKeys);
  };
  m_operators = std::make_shared<store::TopicFollower>(
    aCore.m_loop, aLog, std::move(operators), std::move(onOperators));

  store::FollowOptions endpoints;
  endpoints.m_topic = aFormat.EndpointTopic();
  endpoints.m_pause = aOptions.m_endpointPause;
  endpoints.m_servingPause = aOptions.m_endpointServingPause;
  endpoints.m_maxUpdateAge = aOptions.m_endpointPeerMaxAge;
  endpoints.m_maxTakeoverDelay = aOptions.m_endpointTakeoverDelay;
  endpoints.m_minOutage = aOptions.m_minEndpointOutage;
  store::FollowEvents onEndpoints = MakeFollowEvents(endpoints.m_topic);
  onEndpoints.m_onRecord = [this](const store::Record& aRecord) {
    return OnEndpointRecord(aRecord);
  };
  onEndpoints.m_onSnapshot = [this](const std::set<std::string>& aListed) {
    m_core.m_directory.RemoveUnlisted(aListed, base::MonotonicNow());
    m_endpointsLoaded = true;
  };
  m_endpoints = std::make_shared<store::TopicFollower>(
    aCore.m_loop, aLog, std::move(endpoints), std::move(onEndpoints));
}

void StateFeeds::Stop()
{
  m_operators->Stop();
  m_endpoints->Stop();
}

store::FollowEvents StateFeeds::MakeFollowEvents(const std::string& aTopic)
{
  store::FollowEvents events;
  const bool isDirectory = aTopic == m_format.EndpointTopic();
  events.m_onContact = [this, aTopic, isDirectory](bool aRecovered, base::TimePoint aAt) {
    m_core.m_lastContact = std::max(m_core.m_lastContact.value_or(aAt), aAt);
    (isDirectory ? m_core.m_directoryReadAt : m_core.m_operatorsReadAt) = aAt;
    if (!aRecovered) {
      return;
    }
    if (isDirectory) {
      m_operators->RestartRead();
    }
    const auto& topic = isDirectory ? m_endpoints : m_operators;
    telemetry::LogLine("dependency_back")
      .Add("dependency", "record_log")
      .Add("topic", aTopic)
      .Add("via", topic->IsRelayed() ? "host" : "log");
  };
  if (isDirectory) {
    events.m_onOutageEnd = [this, aTopic](const std::optional<store::LogOutage>& aOutage) {
      OnOutageEnd(aTopic, aOutage);
    };
    events.m_onSlow = [this](base::Duration) { m_operators->RestartRead(); };
  }
  events.m_onHeldReadFailed = [aTopic](base::Duration aOpen) {
    telemetry::LogLine("held_read_unanswered")
      .Add("topic", aTopic)
      .Add("read_open_ms", base::ToMillis(aOpen));
  };
  events.m_onUnreachable = [this, aTopic, isDirectory](const base::Failure& aFailure) {
    if (isDirectory) {
      m_operators->RestartRead();
    }
    telemetry::LogLine("dependency_lost")
      .Add("dependency", "record_log")
      .Add("topic", aTopic)
      .Add("why", aFailure.m_message);
  };
  return events;
}

void StateFeeds::OnOutageEnd(const std::string& aTopic,
                             const std::optional<store::LogOutage>& aOutage)
{
  m_core.m_directory.SetOutageEnd(aOutage ? std::optional(aOutage->m_end) : std::nullopt);
  const bool isCorrection = aOutage && m_outageEnd && aOutage->m_end < *m_outageEnd;
  m_outageEnd = aOutage ? std::optional(aOutage->m_end) : std::nullopt;
  if (isCorrection) {
    return;
  }
  telemetry::LogLine line("log_outage");
  line.Add("topic", aTopic).Add("outcome", aOutage ? "ended" : "refuted");
  if (aOutage) {
    line.Add("took_ms", base::ToMillis(aOutage->m_end - aOutage->m_begin))
      .Add("ended_ms_ago", base::ToMillis(base::MonotonicNow() - aOutage->m_end));
  }
}

void StateFeeds::OnOperatorRecord(const store::Record& aRecord)
{
  if (const auto zone = m_format.EvacuatedZone(aRecord.m_key)) {
    OnEvacuation(*zone, aRecord);
  } else if (aRecord.m_removed) {
    return;
  } else if (m_format.IsConfiguration(aRecord.m_key)) {
    OnConfiguration(aRecord);
  } else if (m_format.IsNamedWeights(aRecord.m_key)) {
    OnNamedWeights(aRecord);
  }
}

void StateFeeds::OnOperatorSnapshot(const std::set<std::string>& aKeys)
{
  m_operatorsLoaded = true;
  std::set<std::string> evacuated;
  for (const std::string& key : aKeys) {
    if (const auto zone = m_format.EvacuatedZone(key)) {
      evacuated.insert(*zone);
    }
  }
  const std::set<std::string> previous = m_core.m_directory.EvacuatedZones();
  for (const std::string& zone : previous) {
    if (!evacuated.contains(zone)) {
      SetEvacuated(zone, false);
    }
  }
}

void StateFeeds::OnEvacuation(const std::string& aZone, const store::Record& aRecord)
{
  SetEvacuated(aZone, !aRecord.m_removed);
}

void StateFeeds::SetEvacuated(const std::string& aZone, bool aEvacuated)
{
  if (!m_core.m_directory.SetEvacuated(aZone, aEvacuated)) {
    return;
  }
  const base::TimePoint now = base::MonotonicNow();
  std::size_t endpoints = 0;
  for (const fleet::Endpoint* endpoint : m_core.m_directory.All()) {
    if (endpoint->m_zone != aZone) {
      continue;
    }
    ++endpoints;
    if (!aEvacuated) {
      // No requests were sent to the zone meanwhile, so its endpoints may have restarted unnoticed.
      SuspectColdStart(m_core, *endpoint, now);
    }
  }
  telemetry::LogLine("evacuation")
    .Add("zone", aZone)
    .Add("outcome", aEvacuated ? "begun" : "ended")
    .Add("endpoints", endpoints);
}

void StateFeeds::OnConfiguration(const store::Record& aRecord)
{
  base::Result<fleet::Configuration> read = m_format.ReadConfiguration(aRecord.m_value);
  if (!read) {
    m_core.m_unreadable.Note(aRecord, read.error());
    return;
  }
  const std::uint64_t current =
    m_core.m_configuration ? m_core.m_configuration->Get().m_version : 0;
  const bool newer = !m_core.m_configuration || read->m_version > current;
  telemetry::LogLine("configuration")
    .Add("version", read->m_version)
    .Add("before", current)
    .Add("offset", aRecord.m_offset)
    .Add("read_open_ms", m_core.OperatorsAgeMillis(base::MonotonicNow()))
    .Add("outcome", newer ? "in_force" : "ignored_older");
  if (newer) {
    m_core.m_configuration = std::make_shared<fleet::ConfigurationIndex>(std::move(*read));
    if (m_onConfigured) {
      m_onConfigured();
    }
  }
}

void StateFeeds::OnNamedWeights(const store::Record& aRecord)
{
  const base::Result<NamedWeights> read = m_format.ReadNamedWeights(aRecord.m_value);
  if (!read) {
    m_core.m_unreadable.Note(aRecord, read.error());
    return;
  }
  fleet::WeightVersion& desired = m_core.m_desiredWeights[read->m_model];
  if (read->m_version <= desired) {
    return;
  }
  desired = read->m_version;
  // A starting host does not know when the version was named. It assumes that it was long ago:
  // older versions are excluded as soon as the startup grace time is over.
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_namedWeights.OnNamed(
    read->m_model,
    read->m_version,
    m_operatorsLoaded ? now : now - m_core.m_options.m_weightsDue + kStartupGrace);
  telemetry::LogLine("weights_named")
    .Add("model", read->m_model)
    .Add("version", read->m_version)
    .Add("offset", aRecord.m_offset);
}

void StateFeeds::ForgetEndpoint(const std::string& aIncarnation)
{
  m_core.m_endpointTracker.Forget(aIncarnation);
  m_core.m_coldStarts.Forget(aIncarnation);
}

bool StateFeeds::ConflictsWithKnownEndpoint(const fleet::Endpoint& aEndpoint) const
{
  const fleet::Endpoint* known = m_core.m_directory.FindById(aEndpoint.m_id);
  return known != nullptr && known->m_service != aEndpoint.m_service && m_core.m_configuration &&
         m_core.m_configuration->FindService(aEndpoint.m_service) == nullptr;
}

bool StateFeeds::UpdateLastRecord(const std::string& aKey, const fleet::Endpoint& aEndpoint)
{
  fleet::Endpoint current = aEndpoint;
  // The remaining cold time shrinks with each heartbeat and must not count as a change.
  current.m_coldDuration =
    current.m_coldDuration > base::Duration::zero() ? base::Duration(1) : base::Duration();
  fleet::Endpoint& previous = m_lastRecords[aKey];
  const bool changed = previous != current;
  previous = std::move(current);
  return changed;
}

bool StateFeeds::AdmitEndpointLine(base::TimePoint aNow)
{
  if (aNow >= m_endpointLinesSince + kEndpointLineInterval) {
    if (m_endpointLines > kMaxEndpointLines) {
      telemetry::LogLine("endpoints_not_logged").Add("count", m_endpointLines - kMaxEndpointLines);
    }
    m_endpointLinesSince = aNow;
    m_endpointLines = 0;
  }
  return ++m_endpointLines <= kMaxEndpointLines;
}

bool StateFeeds::OnEndpointRecord(const store::Record& aRecord)
{
  const base::TimePoint now = base::MonotonicNow();
  if (aRecord.m_removed) {
    if (const fleet::Endpoint* removed = m_core.m_directory.FindById(aRecord.m_key)) {
      ForgetEndpoint(removed->m_incarnation);
    }
    const base::Duration kept = m_core.m_directory.Remove(aRecord.m_key, now);
    if (AdmitEndpointLine(now)) {
      telemetry::LogLine("endpoint_removed")
        .Add("endpoint", aRecord.m_key)
        .Add("offset", aRecord.m_offset)
        .Add("via", m_endpoints->IsRelayed() ? "host" : "log")
        .Add("kept_ms", base::ToMillis(kept));
    }
    m_lastRecords.erase(aRecord.m_key);
    return true;
  }
  base::Result<fleet::Endpoint> read = m_format.ReadEndpoint(aRecord.m_key, aRecord.m_value);
  if (read && ConflictsWithKnownEndpoint(*read)) {
    read = base::Fail(base::ErrorCode::PlatformMalformed,
                      "the service " + read->m_service + " is not declared");
  }
  if (!read) {
    m_core.m_unreadable.Note(aRecord, read.error());
    // Hosts that read the topic now get only this unreadable record, so the next readable one must
    // count as a change.
    m_lastRecords.erase(aRecord.m_key);
    return false;
  }
  const bool changed = UpdateLastRecord(aRecord.m_key, *read);
  const fleet::Endpoint* known = m_core.m_directory.Find(read->m_incarnation);
  const bool isNew = known == nullptr;
  const bool startsLeaving = known != nullptr && read->m_leaving && !known->m_leaving;
  if ((isNew || startsLeaving) && AdmitEndpointLine(now)) {
    telemetry::LogLine("endpoint")
      .Add("endpoint", read->m_incarnation)
      .Add("service", read->m_service)
      .Add("address", read->m_address)
      .Add("state", read->m_leaving ? "leaving" : "usable")
      .Add("offset", aRecord.m_offset);
  }
  const fleet::Endpoint* previous = m_core.m_directory.FindById(aRecord.m_key);
  if (FindColdTraits(m_core, read->m_service) != nullptr) {
    m_core.m_coldStarts.OnColdTimeReported(
      read->m_incarnation, read->m_coldDuration, previous == nullptr, now);
  }
  const std::string previousIncarnation = previous == nullptr ? "" : previous->m_incarnation;
  const std::string incarnation = read->m_incarnation;
  m_core.m_directory.Upsert(std::move(*read), now);
  if (isNew && m_core.m_announcedLeaving.Contains(peers::KeyOf(incarnation))) {
    m_core.m_directory.MarkLeaving(incarnation); // announced before its entry was read
  }
  if (!previousIncarnation.empty() && m_core.m_directory.Find(previousIncarnation) == nullptr) {
    ForgetEndpoint(previousIncarnation);
  }
  return changed;
}

} // namespace ferrytray::relay
