#include "ferrytray/relay/quarantine_feed.hpp"

#include <array> // for array

#include "ferrytray/peers/messages.hpp"        // for Encode
#include "tests/support/exchange_fixture.hpp"  // for ExchangeFixture
#include "tests/support/memory_record_log.hpp" // for MemoryRecordLog

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP_BASE(QuarantineFeed, support::ExchangeFixture)
{
  const quarantine::ContentKey m_request{ 1, 2 };
  support::MemoryRecordLog m_log;
  std::unique_ptr<relay::QuarantineFeed> m_feed;

  void teardown() override
  {
    m_feed->Stop();
  }
  /// Simulates a host start.
  void StartFeed()
  {
    m_core.m_crashes = quarantine::CrashTracker();
    m_core.m_crashesLoaded = false;
    if (m_feed) {
      m_feed->Stop();
    }
    m_feed =
      std::make_unique<relay::QuarantineFeed>(m_core, m_log, "quarantine", relay::FeedOptions{});
    m_feed->Start();
    m_feed->Topic()->Start();
  }
  [[nodiscard]] std::span<const quarantine::ContentKey> Content() const
  {
    return { &m_request, 1 };
  }
  void ReportCrash(quarantine::EndpointKey aEndpoint)
  {
    m_core.m_crashes.OnConnectionBroken(
      m_request, aEndpoint, base::MonotonicNow(), base::MonotonicNow());
    m_feed->OnLocalChange(Content());
  }
};

TEST(QuarantineFeed, StartingHostLoadsQuarantineRecords)
{
  StartFeed();
  for (quarantine::EndpointKey end = 1; end <= 3; ++end) {
    ReportCrash(end);
  }
  LONGS_EQUAL(2, m_log.m_topics["quarantine"].size());
  StartFeed();
  CHECK(m_core.m_crashesLoaded);
  CHECK(m_core.m_crashes.IsQuarantined(m_request));
}

TEST(QuarantineFeed, MergesCrashesRecordedByDifferentHosts)
{
  const std::string key = base::ToHex(m_request);
  m_log.AppendKeyed(
    "quarantine", key, peers::Encode({ { 1, 2 }, false, false }), [](const auto&) {});
  StartFeed();
  ReportCrash(3);
  StartFeed();
  CHECK(m_core.m_crashes.IsQuarantined(m_request));
}

TEST(QuarantineFeed, CompleteReplyRemovesRecord)
{
  StartFeed();
  ReportCrash(1);
  ReportCrash(2);
  ReportCrash(3);
  m_core.m_crashes.OnCompleteAnswer(m_request);
  m_feed->OnLocalChange(Content());
  StartFeed();
  CHECK_FALSE(m_core.m_crashes.Find(m_request).has_value());
}

TEST(QuarantineFeed, UnreadableRecordsAreSkipped)
{
  m_log.AppendKeyed("quarantine", "not hex", "x", [](const auto&) {});
  m_log.AppendKeyed("quarantine", base::ToHex({ 3, 4 }), "damaged", [](const auto&) {});
  const std::string key = base::ToHex(m_request);
  m_log.AppendKeyed(
    "quarantine", key, peers::Encode({ { 1, 2, 3 }, false, false }), [](const auto&) {});
  StartFeed();
  CHECK(m_core.m_crashes.IsQuarantined(m_request));
}

TEST(QuarantineFeed, FailedWriteIsRetried)
{
  StartFeed();
  m_log.m_down = true;
  ReportCrash(1);
  ReportCrash(2);
  m_log.m_down = false;
  CHECK(m_log.m_topics["quarantine"].empty());
  m_loop.RunFor(1600ms);
  CHECK_FALSE(m_log.m_topics["quarantine"].empty());
}

TEST(QuarantineFeed, ProbeIsRecordedBeforeItIsSent)
{
  StartFeed();
  for (quarantine::EndpointKey end = 1; end <= 3; ++end) {
    ReportCrash(end);
  }
  m_loop.RunFor(600ms); // the follower has read this host's records
  const base::TimePoint later = base::MonotonicNow() + 1h;
  std::optional<bool> granted;
  m_log.m_down = true;
  m_feed->ClaimProbe(Content(), [&](bool aGranted) { granted = aGranted; });
  CHECK(granted == false);
  CHECK(m_core.m_crashes.MayProbe(m_request, later));
  m_log.m_down = false;
  m_feed->ClaimProbe(Content(), [&](bool aGranted) { granted = aGranted; });
  CHECK(granted == false); // backs off
  m_loop.RunFor(400ms);
  m_feed->ClaimProbe(Content(), [&](bool aGranted) { granted = aGranted; });
  CHECK(granted == true);
  LONGS_EQUAL(1, m_core.m_crashes.Find(m_request)->m_probes);
  StartFeed();
  CHECK(m_core.m_crashes.IsQuarantined(m_request));
  LONGS_EQUAL(1, m_core.m_crashes.Find(m_request)->m_probes);
}

// Each host that was asked for the content at the same moment could send a probe.
TEST(QuarantineFeed, ClaimIsDeniedAfterAnotherHostsClaim)
{
  StartFeed();
  for (quarantine::EndpointKey end = 1; end <= 3; ++end) {
    ReportCrash(end);
  }
  m_loop.RunFor(600ms);                   // the follower has read this host's records
  m_log.m_unansweredTopic = "quarantine"; // this host does not read the other one's record
  m_log.AppendKeyed("quarantine",
                    base::ToHex(m_request),
                    peers::Encode({ { 1, 2, 3 }, false, 1 }),
                    [](const auto&) {});
  std::optional<bool> granted;
  m_feed->ClaimProbe(Content(), [&](bool aGranted) { granted = aGranted; });
  CHECK(granted == false);
  LONGS_EQUAL(0, m_core.m_crashes.Find(m_request)->m_probes);
}

TEST(QuarantineFeed, ProbeOfTwoQuarantinedContentsIsRecordedForBoth)
{
  StartFeed();
  const std::array<quarantine::ContentKey, 2> both{ m_request, { 3, 5 } };
  const base::TimePoint now = base::MonotonicNow();
  for (quarantine::EndpointKey end = 1; end <= 3; ++end) {
    for (const quarantine::ContentKey& content : both) {
      m_core.m_crashes.OnConnectionBroken(content, end, now, now);
    }
  }
  m_feed->OnLocalChange(both);
  m_loop.RunFor(600ms); // the follower has read this host's records
  std::optional<bool> granted;
  m_feed->ClaimProbe(both, [&](bool aGranted) { granted = aGranted; });
  CHECK(granted == true);
  for (const quarantine::ContentKey& content : both) {
    LONGS_EQUAL(1, m_core.m_crashes.Find(content)->m_probes);
  }
}
