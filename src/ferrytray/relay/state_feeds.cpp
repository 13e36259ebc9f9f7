#include "ferrytray/relay/state_feeds.hpp"

#include <algorithm> // for max
#include <utility>   // for move

#include "ferrytray/relay/cold_engines.hpp" // for SuspectColdStart
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::relay {

namespace {

/// The users' platform judges a host from 3 s after its start.
constexpr base::Duration kStartExcuse = std::chrono::milliseconds(2500);

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
  operators.m_patience = aOptions.m_operatorPatience;
  operators.m_newsFresh = aOptions.m_operatorNewsFresh;
  store::FollowEvents onOperators = EventsFor(operators.m_topic);
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
  endpoints.m_newsFresh = aOptions.m_endpointNewsFresh;
  store::FollowEvents onEndpoints = EventsFor(endpoints.m_topic);
  onEndpoints.m_onRecord = [this](const store::Record& aRecord) {
    return OnEndpointRecord(aRecord);
  };
  onEndpoints.m_onSnapshot = [this](const std::set<std::string>& aListed) {
    m_core.m_directory.KeepOnly(aListed, base::MonotonicNow());
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

store::FollowEvents StateFeeds::EventsFor(const std::string& aTopic)
{
  store::FollowEvents events;
  const bool isDirectory = aTopic == m_format.EndpointTopic();
  events.m_onContact = [this, aTopic, isDirectory](bool aWasAway, base::TimePoint aAt) {
    const base::TimePoint now = base::MonotonicNow();
    m_core.m_lastContact = std::max(m_core.m_lastContact.value_or(aAt), aAt);
    if (!isDirectory) {
      m_core.m_operatorsHeardAt = aAt;
    }
    if (!aWasAway) {
      return;
    }
    if (isDirectory) {
      m_core.m_directory.OnSourceBack(now);
      m_operators->Renew();
    }
    telemetry::LogLine("dependency_back").Add("dependency", "record_log").Add("topic", aTopic);
  };
  if (isDirectory) {
    events.m_onSlow = [this](base::Duration) { m_operators->Renew(); };
  }
  events.m_onUnanswered = [aTopic](base::Duration aOpen) {
    telemetry::LogLine("held_read_unanswered")
      .Add("topic", aTopic)
      .Add("read_open_ms", base::ToMillis(aOpen));
  };
  events.m_onAway = [this, aTopic, isDirectory](const base::Failure& aFailure) {
    if (isDirectory) {
      m_operators->Renew();
    }
    telemetry::LogLine("dependency_lost")
      .Add("dependency", "record_log")
      .Add("topic", aTopic)
      .Add("why", aFailure.m_message);
  };
  return events;
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
  const std::set<std::string> before = m_core.m_directory.EvacuatedZones();
  for (const std::string& zone : before) {
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
      // Nothing was sent to them meanwhile, so nobody knows whether they are as they were.
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
  fleet::WeightVersion& wanted = m_core.m_wanted[read->m_model];
  if (read->m_version <= wanted) {
    return;
  }
  wanted = read->m_version;
  // A host that starts does not know for how long they have been named. It counts as long ago, but
  // for the time in which a host that has just started is excused.
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_named.OnNamed(read->m_model,
                         read->m_version,
                         m_operatorsLoaded ? now
                                           : now - m_core.m_options.m_weightsDue + kStartExcuse);
  telemetry::LogLine("weights_named")
    .Add("model", read->m_model)
    .Add("version", read->m_version)
    .Add("offset", aRecord.m_offset);
}

void StateFeeds::ForgetEndpoint(const std::string& aIncarnation)
{
  m_core.m_board.Forget(aIncarnation);
  m_core.m_cold.Forget(aIncarnation);
}

bool StateFeeds::IsOfAnotherWriter(const fleet::Endpoint& aEndpoint) const
{
  const fleet::Endpoint* known = m_core.m_directory.FindById(aEndpoint.m_id);
  return known != nullptr && known->m_service != aEndpoint.m_service && m_core.m_configuration &&
         m_core.m_configuration->FindService(aEndpoint.m_service) == nullptr;
}

bool StateFeeds::TellsNews(const std::string& aKey, const fleet::Endpoint& aEndpoint)
{
  fleet::Endpoint told = aEndpoint;
  // A cold endpoint tells with each heartbeat that less time is left.
  told.m_coldFor = told.m_coldFor > base::Duration::zero() ? base::Duration(1) : base::Duration();
  fleet::Endpoint& before = m_told[aKey];
  const bool news = before != told;
  before = std::move(told);
  return news;
}

bool StateFeeds::OnEndpointRecord(const store::Record& aRecord)
{
  const base::TimePoint now = base::MonotonicNow();
  if (aRecord.m_removed) {
    telemetry::LogLine("endpoint_removed").Add("endpoint", aRecord.m_key);
    if (const fleet::Endpoint* removed = m_core.m_directory.FindById(aRecord.m_key)) {
      ForgetEndpoint(removed->m_incarnation);
    }
    m_core.m_directory.Remove(aRecord.m_key, now);
    m_told.erase(aRecord.m_key);
    return true;
  }
  base::Result<fleet::Endpoint> read = m_format.ReadEndpoint(aRecord.m_key, aRecord.m_value);
  if (read && IsOfAnotherWriter(*read)) {
    read = base::Fail(base::ErrorCode::PlatformMalformed,
                      "the service " + read->m_service + " is not declared");
  }
  if (!read) {
    m_core.m_unreadable.Note(aRecord, read.error());
    // A host that is given the newest records has only this one: the next readable one is news.
    m_told.erase(aRecord.m_key);
    return false;
  }
  const bool news = TellsNews(aRecord.m_key, *read);
  const fleet::Endpoint* known = m_core.m_directory.Find(read->m_incarnation);
  if (known == nullptr || known->m_leaving != read->m_leaving) {
    telemetry::LogLine("endpoint")
      .Add("endpoint", read->m_incarnation)
      .Add("service", read->m_service)
      .Add("address", read->m_address)
      .Add("state", read->m_leaving ? "leaving" : "usable")
      .Add("offset", aRecord.m_offset);
  }
  const fleet::Endpoint* before = m_core.m_directory.FindById(aRecord.m_key);
  if (ColdTraitsOf(m_core, read->m_service) != nullptr) {
    m_core.m_cold.OnColdTimeReported(read->m_incarnation, read->m_coldFor, before == nullptr, now);
  }
  const std::string former = before == nullptr ? "" : before->m_incarnation;
  m_core.m_directory.Upsert(std::move(*read), now);
  if (!former.empty() && m_core.m_directory.Find(former) == nullptr) {
    ForgetEndpoint(former);
  }
  return news;
}

} // namespace ferrytray::relay
