#include "ferrytray/relay/quarantine_feed.hpp"

#include "ferrytray/peers/messages.hpp"        // for Encode
#include "tests/support/exchange_fixture.hpp"  // for ExchangeFixture
#include "tests/support/memory_record_log.hpp" // for MemoryRecordLog

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP_BASE(QuarantineFeed, support::ExchangeFixture)
{
  const quarantine::RequestKey m_request{ 1, 2 };
  support::MemoryRecordLog m_log;
  std::unique_ptr<relay::QuarantineFeed> m_feed;

  void teardown() override
  {
    m_feed->Stop();
  }
  /// As a host that starts.
  void Begin()
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
  void Break(quarantine::EndpointKey aEndpoint)
  {
    m_core.m_crashes.OnConnectionBroken(
      m_request, aEndpoint, base::MonotonicNow(), base::MonotonicNow());
    m_feed->OnOwn(m_request);
  }
};

TEST(QuarantineFeed, AHostThatStartsKnowsWhatOthersRecordedBeforeItServes)
{
  Begin();
  for (quarantine::EndpointKey end = 1; end <= 3; ++end) {
    Break(end);
  }
  LONGS_EQUAL(2, m_log.m_topics["quarantine"].size());
  Begin();
  CHECK(m_core.m_crashesLoaded);
  CHECK(m_core.m_crashes.IsQuarantined(m_request));
}

TEST(QuarantineFeed, EndsOfTwoHostsThatRecordedEachItsOwnAreCountedTogether)
{
  const std::string key = base::ToHex(m_request);
  m_log.AppendKeyed(
    "quarantine", key, peers::Encode({ { 1, 2 }, false, false }), [](const auto&) {});
  Begin();
  Break(3);
  Begin();
  CHECK(m_core.m_crashes.IsQuarantined(m_request));
}

TEST(QuarantineFeed, AWholeAnswerRemovesTheRecord)
{
  Begin();
  Break(1);
  Break(2);
  Break(3);
  m_core.m_crashes.OnCompleteAnswer(m_request);
  m_feed->OnOwn(m_request);
  Begin();
  CHECK_FALSE(m_core.m_crashes.Find(m_request).has_value());
}

TEST(QuarantineFeed, RecordsOfAnotherWriterHoldNothingUp)
{
  m_log.AppendKeyed("quarantine", "not hex", "x", [](const auto&) {});
  m_log.AppendKeyed("quarantine", base::ToHex({ 3, 4 }), "damaged", [](const auto&) {});
  const std::string key = base::ToHex(m_request);
  m_log.AppendKeyed(
    "quarantine", key, peers::Encode({ { 1, 2, 3 }, false, false }), [](const auto&) {});
  Begin();
  CHECK(m_core.m_crashes.IsQuarantined(m_request));
}

TEST(QuarantineFeed, WhatCouldNotBeRecordedIsRecordedLater)
{
  Begin();
  m_log.m_down = true;
  Break(1);
  Break(2);
  m_log.m_down = false;
  CHECK(m_log.m_topics["quarantine"].empty());
  m_loop.RunFor(1600ms);
  CHECK_FALSE(m_log.m_topics["quarantine"].empty());
}

TEST(QuarantineFeed, ATryIsRecordedBeforeItIsMadeSoThatNoHostMakesAnother)
{
  Begin();
  for (quarantine::EndpointKey end = 1; end <= 3; ++end) {
    Break(end);
  }
  const base::TimePoint later = base::MonotonicNow() + 1h;
  std::optional<bool> may;
  m_log.m_down = true;
  m_feed->ClaimTry(m_request, [&](bool aMay) { may = aMay; });
  CHECK(may == false);
  CHECK(m_core.m_crashes.MayProbe(m_request, later));
  m_log.m_down = false;
  m_feed->ClaimTry(m_request, [&](bool aMay) { may = aMay; });
  CHECK(may == true);
  CHECK_FALSE(m_core.m_crashes.MayProbe(m_request, later));
  Begin();
  CHECK(m_core.m_crashes.IsQuarantined(m_request));
  CHECK_FALSE(m_core.m_crashes.MayProbe(m_request, later));
}
