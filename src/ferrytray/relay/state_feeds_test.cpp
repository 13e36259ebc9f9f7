#include "ferrytray/relay/state_feeds.hpp"

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/store/record_log.hpp"        // for Record
#include "tests/support/exchange_fixture.hpp"    // for ExchangeFixture
#include "tests/support/memory_record_log.hpp"   // for MemoryRecordLog

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kColdFor = 3s;

/// Records in plain text: an endpoint's value is "BIRTH ZONE", an evacuation's key "leave ZONE".
class FakeRecordFormat final : public relay::RecordFormat
{
public:
  [[nodiscard]] std::string OperatorTopic() const override { return "operators"; }
  [[nodiscard]] std::string EndpointTopic() const override { return "endpoints"; }
  [[nodiscard]] std::string HostTopic() const override { return "hosts"; }
  [[nodiscard]] std::string QuarantineTopic() const override { return "quarantine"; }
  [[nodiscard]] bool IsConfiguration(std::string_view aKey) const override
  {
    return aKey == "configuration";
  }
  [[nodiscard]] bool IsNamedWeights(std::string_view) const override { return false; }
  [[nodiscard]] base::Result<fleet::Configuration> ReadConfiguration(
    std::string_view) const override
  {
    fleet::Configuration configuration = support::MakeConfiguration(2)->Get();
    configuration.m_services[0].m_cold = fleet::ColdTraits{ kColdFor, 14 };
    return configuration;
  }
  [[nodiscard]] base::Result<relay::NamedWeights> ReadNamedWeights(std::string_view) const override
  {
    return base::Fail(base::ErrorCode::PlatformMalformed, "none");
  }
  [[nodiscard]] std::optional<std::string> EvacuatedZone(std::string_view aKey) const override
  {
    return aKey.starts_with("leave ") ? std::optional(std::string(aKey.substr(6))) : std::nullopt;
  }
  [[nodiscard]] base::Result<fleet::Endpoint> ReadEndpoint(std::string_view aKey,
                                                           std::string_view aValue) const override
  {
    const std::size_t space = aValue.find(' ');
    if (space == std::string_view::npos) {
      return base::Fail(base::ErrorCode::PlatformMalformed, "no entry");
    }
    fleet::Endpoint endpoint = support::MakeEndpoint(std::string(aKey));
    endpoint.m_startTime = std::stoul(std::string(aValue.substr(0, space)));
    endpoint.m_incarnation = fleet::IncarnationOf(endpoint.m_id, endpoint.m_startTime);
    endpoint.m_zone = aValue.substr(space + 1);
    endpoint.m_service = endpoint.m_zone == "elsewhere" ? "unknown" : "s";
    return endpoint;
  }
};

} // namespace

TEST_GROUP_BASE(StateFeeds, support::ExchangeFixture)
{
  support::MemoryRecordLog m_log;
  FakeRecordFormat m_records;
  std::optional<relay::StateFeeds> m_feeds;

  void teardown() override
  {
    m_feeds->Stop();
  }

  void Append(const char* aTopic, const char* aKey, const char* aValue)
  {
    m_log.AppendKeyed(aTopic, aKey, aValue, [](const auto&) {});
  }
  /// Reads both topics from the start.
  void StartFeeds(const relay::FeedOptions& aOptions = {})
  {
    if (m_feeds) {
      m_feeds->Stop();
    }
    m_feeds.emplace(m_core, m_log, m_records, aOptions);
    for (const auto& topic : m_feeds->Topics()) {
      topic->Start();
    }
  }
  /// Delivers records as another host forwards them.
  void DeliverFromPeer(const char* aTopic, std::vector<store::Record> aRecords)
  {
    for (const auto& topic : m_feeds->Topics()) {
      if (topic->Topic() == aTopic) {
        store::TopicUpdate update;
        update.m_topic = aTopic;
        update.m_from = aRecords.front().m_offset;
        update.m_end = aRecords.back().m_offset + 1;
        update.m_records = std::move(aRecords);
        topic->OnUpdate(update, base::MonotonicNow());
      }
    }
  }
};

TEST(StateFeeds, EvacuationLastsUntilRecordIsRemoved)
{
  Append("operators", "configuration", "x");
  Append("operators", "leave z1", "{}");
  Append("endpoints", "e", "1 z1");
  Append("endpoints", "f", "1 z2");
  StartFeeds();
  LONGS_EQUAL(1, m_core.m_directory.EvacuatedZones().size());
  STRCMP_EQUAL("f", m_core.m_directory.Usable("s").back()->m_id.c_str());
  DeliverFromPeer("operators", { { 2, "leave z1", "", true } });
  CHECK(m_core.m_directory.EvacuatedZones().empty());
}

TEST(StateFeeds, EvacuationMissingFromSnapshotEnds)
{
  Append("operators", "configuration", "x");
  m_core.m_directory.SetEvacuated("z1", true);
  StartFeeds();
  CHECK(m_core.m_directory.EvacuatedZones().empty());
}

TEST(StateFeeds, EnginesOfReadmittedZoneAreSuspectedCold)
{
  Append("operators", "configuration", "x");
  Append("operators", "leave z1", "{}");
  Append("endpoints", "e", "1 z1");
  Append("endpoints", "f", "1 z2");
  StartFeeds();
  DeliverFromPeer("operators", { { 2, "leave z1", "", true } });
  const base::TimePoint now = base::MonotonicNow();
  CHECK(m_core.m_coldStarts.IsCold(fleet::IncarnationOf("e", 1), now + kColdFor));
  CHECK_FALSE(m_core.m_coldStarts.IsCold(fleet::IncarnationOf("f", 1), now));
}

TEST(StateFeeds, StateOfPreviousIncarnationIsDropped)
{
  Append("operators", "configuration", "x");
  Append("endpoints", "e", "1 z1");
  StartFeeds();
  const std::string former = fleet::IncarnationOf("e", 1);
  m_core.m_endpointTracker.OnSent(former, 3);
  m_core.m_coldStarts.OnColdTimeReported(former, 10s, true, base::MonotonicNow());
  DeliverFromPeer("endpoints", { { 1, "e", "2 z1", false } });
  LONGS_EQUAL(0, m_core.m_endpointTracker.WorkOfOpenRequests(former));
  CHECK_FALSE(m_core.m_coldStarts.IsCold(former, base::MonotonicNow()));
  POINTERS_EQUAL(nullptr, m_core.m_directory.Find(former));
  CHECK(m_core.m_directory.FindById("e") != nullptr);
}

TEST(StateFeeds, UnreadableEntryKeepsKnownEndpoint)
{
  Append("operators", "configuration", "x");
  Append("endpoints", "e", "1 z1");
  StartFeeds();
  DeliverFromPeer("endpoints", { { 1, "e", "spoilt", false } });
  CHECK(m_core.m_directory.FindById("e") != nullptr);
  CHECK_FALSE(m_core.m_directory.FindById("e")->m_leaving);
}

// An endpoint announces its shutdown in an answer before this host has read its entry.
TEST(StateFeeds, EntryOfALeavingEndpointIsNotUsable)
{
  const std::string incarnation = fleet::IncarnationOf("e", 1);
  m_core.m_announcedLeaving.OnNotice({ peers::KeyOf(incarnation), 0 }, base::MonotonicNow());
  Append("operators", "configuration", "x");
  Append("endpoints", "e", "1 z1");
  StartFeeds();
  CHECK(m_core.m_directory.FindById("e")->m_leaving);
  DeliverFromPeer("endpoints", { { 1, "e", "2 z1", false } });
  CHECK_FALSE(m_core.m_directory.FindById("e")->m_leaving);
}

TEST(StateFeeds, UnchangedHeartbeatsAreNotForwarded)
{
  Append("operators", "configuration", "x");
  Append("endpoints", "e", "1 z1");
  StartFeeds();
  const auto forwardedRecords = [&] {
    const auto topic = m_feeds->Topics()[1];
    return topic->UpdateSince({ "endpoints", 1, false }, base::MonotonicNow())->m_records.size();
  };
  DeliverFromPeer("endpoints", { { 1, "e", "1 z1", false }, { 2, "e", "1 z1", false } });
  LONGS_EQUAL(0, forwardedRecords());
  DeliverFromPeer("endpoints", { { 3, "e", "1 z2", false } });
  LONGS_EQUAL(1, forwardedRecords());
  // After an unreadable record an equal one counts as a change: hosts that start now were given the
  // unreadable one.
  DeliverFromPeer("endpoints", { { 4, "e", "spoilt", false }, { 5, "e", "1 z2", false } });
  LONGS_EQUAL(2, forwardedRecords());
  DeliverFromPeer("endpoints", { { 6, "e", "", true } });
  LONGS_EQUAL(3, forwardedRecords());
}

TEST(StateFeeds, EntryOfUndeclaredServiceDoesNotReplaceKnownEndpoint)
{
  Append("operators", "configuration", "x");
  Append("endpoints", "e", "1 z1");
  StartFeeds();
  DeliverFromPeer("endpoints", { { 1, "e", "2 elsewhere", false } });
  STRCMP_EQUAL("s", m_core.m_directory.FindById("e")->m_service.c_str());
  LONGS_EQUAL(1, m_core.m_directory.FindById("e")->m_startTime);
  DeliverFromPeer("endpoints", { { 2, "f", "1 elsewhere", false } });
  CHECK(m_core.m_directory.FindById("f") != nullptr); // the configuration may be read later
  LONGS_EQUAL(1, m_core.m_directory.Usable("s").size());
}

// A host denied requests that a newer configuration allows: its reads of the directory went on
// while the read of the operators' topic stayed open and unanswered.
TEST(StateFeeds, DirectoryReadsDoNotRefreshConfigurationAge)
{
  Append("operators", "configuration", "x");
  Append("endpoints", "e", "1 z1");
  m_core.m_options.m_maxDenialAge = 100ms;
  relay::FeedOptions options;
  options.m_endpointPause = options.m_endpointServingPause = 5ms;
  m_log.m_unansweredTopic = "operators";
  StartFeeds(options);
  LONGS_EQUAL(404, SendRequest("/none/x")->m_status);
  const std::size_t before = m_log.m_readsByTopic["endpoints"];
  m_loop.RunFor(300ms);
  CHECK(m_log.m_readsByTopic["endpoints"] > before);
  LONGS_EQUAL(503, SendRequest("/none/x")->m_status);
  LONGS_EQUAL(503, SendRequest("/once/x", "wrong")->m_status);
}

namespace {

/// A host that reads the endpoints' topic itself.
std::shared_ptr<store::TopicFollower> MakeReader(net::Loop& aLoop, store::RecordLog& aLog)
{
  store::FollowOptions options;
  options.m_topic = "endpoints";
  options.m_pause = options.m_servingPause = 10ms;
  options.m_retryMin = options.m_retryMax = 10ms;
  store::FollowEvents events;
  events.m_onRecord = [](const store::Record&) { return true; };
  auto reader = std::make_shared<store::TopicFollower>(aLoop, aLog, options, std::move(events));
  reader->Start();
  return reader;
}

} // namespace

// Guards against requests to endpoints that left: a removed entry was kept for two more seconds
// after each failed read of the host that relays the log.
TEST(StateFeeds, FailedReadOfSourceKeepsNoRemovedEndpoint)
{
  Append("operators", "configuration", "x");
  Append("endpoints", "e", "1 z1");
  Append("endpoints", "f", "1 z1");
  StartFeeds();
  const auto reader = MakeReader(m_core.m_loop, m_log);
  const auto follower = m_feeds->Topics().back();
  const auto relay = [&] {
    const base::TimePoint now = base::MonotonicNow();
    follower->OnUpdate(*reader->UpdateSince(follower->Cursor(), now), now);
  };
  relay();
  m_log.m_down = true;
  m_core.m_loop.RunFor(80ms);
  CHECK(reader->IsUnreachable());
  m_log.m_down = false;
  m_core.m_loop.RunFor(40ms);
  relay();
  Append("endpoints", "e", "");
  m_core.m_loop.RunFor(40ms);
  relay();
  LONGS_EQUAL(1, m_core.m_directory.Usable("s").size());
  reader->Stop();
}

// The same for the host whose own read failed.
TEST(StateFeeds, OwnFailedReadKeepsNoRemovedEndpoint)
{
  Append("operators", "configuration", "x");
  Append("endpoints", "e", "1 z1");
  Append("endpoints", "f", "1 z1");
  relay::FeedOptions options;
  options.m_endpointPause = options.m_endpointServingPause = 10ms;
  StartFeeds(options);
  m_log.m_down = true;
  m_core.m_loop.RunFor(150ms);
  CHECK(m_feeds->Topics().back()->IsUnreachable());
  m_log.m_down = false;
  Append("endpoints", "e", "");
  m_core.m_loop.RunFor(700ms);
  CHECK_FALSE(m_feeds->Topics().back()->IsUnreachable());
  LONGS_EQUAL(1, m_core.m_directory.Usable("s").size());
}

// Entries that expired while the log was away return soon after it; requests go on meanwhile.
TEST(StateFeeds, OutageKeepsExpiredEndpointsUntilTheyReturn)
{
  Append("operators", "configuration", "x");
  Append("endpoints", "e", "1 z1");
  Append("endpoints", "f", "1 z1");
  relay::FeedOptions options;
  options.m_endpointPause = options.m_endpointServingPause = 10ms;
  options.m_minEndpointOutage = 200ms;
  StartFeeds(options);
  m_log.m_down = true;
  m_core.m_loop.RunFor(300ms);
  m_log.m_down = false;
  Append("endpoints", "e", "");
  Append("endpoints", "f", "");
  m_core.m_loop.RunFor(600ms);
  LONGS_EQUAL(2, m_core.m_directory.Usable("s").size());
  Append("endpoints", "e", "1 z1");
  m_core.m_loop.RunFor(40ms);
  m_core.m_directory.Expire(base::MonotonicNow() + 2s);
  LONGS_EQUAL(1, m_core.m_directory.Usable("s").size());
}
