#include "ferrytray/quarantine/crash_tracker.hpp"

#include <string> // for to_string

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace ferrytray::quarantine;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint() + 100s;

ContentKey Request(const std::string& aBody, const std::string& aAccount = "lab")
{
  return KeyOf(RequestTraits{ aAccount, "POST", "h.example", "/again/x", aBody });
}

} // namespace

TEST_GROUP(CrashTracker)
{
  CrashTracker m_tracker;
  ContentKey m_crashing = Request("bad");
  ContentKey m_good = Request("good");
  ContentKey m_part = KeyOf(PartTraits{ "m", "c0de" });
  ContentKey m_sharedPart = KeyOf(PartTraits{ "m", "5c1e" });

  void BreakConnection(const ContentKey& aRequest, EndpointKey aEndpoint)
  {
    m_tracker.OnConnectionBroken(aRequest, aEndpoint, kStart, kStart);
  }

  /// Forwards all notices of one host to another.
  static void ForwardNotices(const CrashTracker& aFrom, CrashTracker& aTo)
  {
    for (const CrashNotice& notice : aFrom.Notices().Since(0, 10'000)) {
      aTo.OnNotice(notice, kStart);
    }
  }
};

TEST(CrashTracker, QuarantinesARequestAfterCrashesOfThreeEndpoints)
{
  BreakConnection(m_crashing, 1);
  BreakConnection(m_crashing, 2);
  CHECK_FALSE(m_tracker.IsQuarantined(m_crashing));
  BreakConnection(m_crashing, 3);
  CHECK(m_tracker.IsQuarantined(m_crashing));
  LONGS_EQUAL(1, m_tracker.Quarantined().size());
}

TEST(CrashTracker, CountsEachEndpointOncePerRequest)
{
  for (int i = 0; i < 5; ++i) {
    BreakConnection(m_crashing, 1);
    BreakConnection(m_crashing, 2);
  }
  CHECK_FALSE(m_tracker.IsQuarantined(m_crashing));
}

TEST(CrashTracker, RequestKeyCoversAccountMethodHostTargetAndBody)
{
  const ContentKey other = KeyOf(RequestTraits{ "lab", "POST", "h.example", "/again/y", "bad" });
  const ContentKey get = KeyOf(RequestTraits{ "lab", "GET", "h.example", "/again/x", "bad" });
  const ContentKey host = KeyOf(RequestTraits{ "lab", "POST", "i.example", "/again/x", "bad" });
  for (const ContentKey& key : { Request("bad", "club"), other, get, host, m_good }) {
    CHECK(key != m_crashing);
  }
  CHECK(KeyOf(RequestTraits{ "ab", "", "", "", "" }) !=
        KeyOf(RequestTraits{ "a", "b", "", "", "" }));
  CHECK(Request("bad") == m_crashing);
}

TEST(CrashTracker, PartKeyCoversModelAndId)
{
  CHECK(KeyOf(PartTraits{ "n", "c0de" }) != m_part);
  CHECK(m_sharedPart != m_part);
  CHECK(KeyOf(PartTraits{ "m", "c0de" }) == m_part);
  CHECK(IsPart(m_part));
  CHECK_FALSE(IsPart(m_crashing));
}

TEST(CrashTracker, CombinesCrashesObservedByDifferentHosts)
{
  CrashTracker second;
  CrashTracker third;
  BreakConnection(m_crashing, 1);
  second.OnConnectionBroken(m_crashing, 2, kStart, kStart);
  third.OnConnectionBroken(m_crashing, 3, kStart, kStart);
  ForwardNotices(third, second);
  ForwardNotices(second, m_tracker);
  CHECK(m_tracker.IsQuarantined(m_crashing));
  ForwardNotices(m_tracker, third);
  CHECK(third.IsQuarantined(m_crashing));
}

TEST(CrashTracker, ACompleteAnswerLiftsTheQuarantineOnAllHosts)
{
  CrashTracker other;
  for (EndpointKey endpoint = 1; endpoint <= 3; ++endpoint) {
    BreakConnection(m_good, endpoint);
  }
  ForwardNotices(m_tracker, other);
  CHECK(other.IsQuarantined(m_good));
  other.OnCompleteAnswer(m_good);
  CHECK_FALSE(other.IsQuarantined(m_good));
  ForwardNotices(other, m_tracker);
  CHECK_FALSE(m_tracker.IsQuarantined(m_good));
  // The notices of the crashes, delivered again after the answer, are ignored.
  ForwardNotices(m_tracker, other);
  CHECK_FALSE(other.Find(m_good).has_value());
}

// Endpoints of one rack may lose power together while all run the same popular request.
TEST(CrashTracker, RequiresMoreCrashesForAKnownGoodRequest)
{
  CrashTracker other;
  m_tracker.OnCompleteAnswer(m_good);
  for (EndpointKey endpoint = 1; endpoint <= 4; ++endpoint) {
    BreakConnection(m_good, endpoint);
  }
  CHECK_FALSE(m_tracker.IsQuarantined(m_good));
  ForwardNotices(m_tracker, other); // a host that never served the request
  CHECK_FALSE(other.IsQuarantined(m_good));
  BreakConnection(m_good, 5);
  CHECK(m_tracker.IsQuarantined(m_good));
}

TEST(CrashTracker, AReplyToALaterRequestRevokesTheCrash)
{
  for (EndpointKey endpoint = 1; endpoint <= 3; ++endpoint) {
    BreakConnection(m_good, endpoint);
  }
  // Sent before the crash: the endpoint may have answered it while crashing.
  m_tracker.OnEndpointReply(2, kStart - 1ms);
  CHECK(m_tracker.IsQuarantined(m_good));
  m_tracker.OnEndpointReply(2, kStart + 1ms);
  CHECK_FALSE(m_tracker.IsQuarantined(m_good));
  LONGS_EQUAL(2, m_tracker.Find(m_good)->m_crashedEndpoints.size());
}

TEST(CrashTracker, CountsCrashesAfterARevokedOne)
{
  BreakConnection(m_crashing, 1);
  m_tracker.OnEndpointReply(1, kStart + 1ms);
  CHECK_FALSE(m_tracker.Find(m_crashing).has_value());
  BreakConnection(m_crashing, 2);
  BreakConnection(m_crashing, 3);
  BreakConnection(m_crashing, 4);
  CHECK(m_tracker.IsQuarantined(m_crashing));
}

// Regression: a restarted host read the crashes from their record, then got the older notice that
// an endpoint had replied after a broken connection of another request, and lifted the quarantine.
TEST(CrashTracker, ReplyBeforeACrashDoesNotRevokeItAtARestartedHost)
{
  BreakConnection(m_good, 1);
  m_tracker.OnEndpointReply(1, kStart + 1ms);
  BreakConnection(m_crashing, 1);
  BreakConnection(m_crashing, 2);
  BreakConnection(m_crashing, 3);
  CHECK(m_tracker.IsQuarantined(m_crashing));
  CrashTracker restarted;
  restarted.OnRecord(m_crashing, *m_tracker.Find(m_crashing), kStart);
  ForwardNotices(m_tracker, restarted);
  CHECK(restarted.IsQuarantined(m_crashing));
}

// A frequent request with a long answer may run at every endpoint that another request crashes, and
// so never be answered completely.
TEST(CrashTracker, ProbesAreFewAcrossAllHostsAndRestarts)
{
  CrashTracker other;
  for (EndpointKey endpoint = 1; endpoint <= 3; ++endpoint) {
    BreakConnection(m_good, endpoint);
  }
  CHECK_FALSE(m_tracker.MayProbe(m_good, kStart + 4999ms));
  CHECK(m_tracker.MayProbe(m_good, kStart + 5s));
  CHECK_FALSE(m_tracker.MayProbeAnyEndpoint(m_good, kStart + 14999ms));
  CHECK(m_tracker.MayProbeAnyEndpoint(m_good, kStart + 15s));
  CHECK_FALSE(m_tracker.MayProbe(m_crashing, kStart + 5s));
  m_tracker.OnProbeStarted(m_good, 1, kStart + 5s);
  CHECK(m_tracker.IsQuarantined(m_good));
  CHECK_FALSE(m_tracker.MayProbe(m_good, kStart + 34999ms));
  CHECK(m_tracker.MayProbe(m_good, kStart + 35s));
  m_tracker.OnProbeStarted(m_good, 2, kStart + 35s);
  CHECK_FALSE(m_tracker.MayProbe(m_good, kStart + 1h));
  ForwardNotices(m_tracker, other);
  CHECK_FALSE(other.MayProbe(m_good, kStart + 1h));
  CrashTracker restarted;
  restarted.OnRecord(m_good, *m_tracker.Find(m_good), kStart);
  CHECK_FALSE(restarted.MayProbe(m_good, kStart + 1h));
  m_tracker.OnCompleteAnswer(m_good);
  CHECK_FALSE(m_tracker.IsQuarantined(m_good));
}

TEST(CrashTracker, ProbeThatIsKnownFromRecordAndNoticeCountsOnce)
{
  CrashTracker other;
  for (EndpointKey endpoint = 1; endpoint <= 3; ++endpoint) {
    BreakConnection(m_good, endpoint);
  }
  m_tracker.OnProbeStarted(m_good, 1, kStart);
  other.OnRecord(m_good, *m_tracker.Find(m_good), kStart);
  ForwardNotices(m_tracker, other);
  LONGS_EQUAL(1, other.Find(m_good)->m_probes);
}

TEST(CrashTracker, KnownGoodContentIsProbedEarlier)
{
  m_tracker.OnCompleteAnswer(m_good);
  for (EndpointKey endpoint = 1; endpoint <= 5; ++endpoint) {
    BreakConnection(m_good, endpoint);
  }
  CHECK_FALSE(m_tracker.MayProbe(m_good, kStart + 999ms));
  CHECK(m_tracker.MayProbeAnyEndpoint(m_good, kStart + 1s));
}

// At most three requests may reach endpoints later than the third crash, probes included.
TEST(CrashTracker, CrashesOfARequestAfterTheThirdAndItsProbesAreThreeAtMost)
{
  for (const bool knownGood : { false, true }) {
    m_tracker = CrashTracker();
    if (knownGood) {
      m_tracker.OnCompleteAnswer(m_crashing);
    }
    EndpointKey endpoint = 0;
    base::TimePoint now = kStart;
    for (int i = 0; i < 100; ++i) {
      now += 1min;
      const bool isProbe = m_tracker.MayProbe(m_crashing, now);
      if (m_tracker.IsQuarantined(m_crashing) && !isProbe) {
        continue;
      }
      if (isProbe) {
        m_tracker.OnProbeStarted(
          m_crashing, static_cast<std::uint8_t>(m_tracker.Find(m_crashing)->m_probes + 1), now);
      }
      m_tracker.OnConnectionBroken(m_crashing, ++endpoint, now, now);
    }
    CHECK(endpoint <= 6);
  }
}

// One part of prompts crashed 42 engines: crashes were counted by identical requests only, and no
// two of its requests were identical.
TEST(CrashTracker, QuarantinesAPartSharedByDifferentRequests)
{
  for (EndpointKey endpoint = 1; endpoint <= 3; ++endpoint) {
    CHECK_FALSE(m_tracker.IsQuarantined(m_part));
    BreakConnection(Request("body " + std::to_string(endpoint)), endpoint);
    BreakConnection(m_part, endpoint);
  }
  CHECK(m_tracker.IsQuarantined(m_part));
  LONGS_EQUAL(1, m_tracker.Quarantined().size());
}

TEST(CrashTracker, SharedPartThatIsAnsweredElsewhereIsNotQuarantined)
{
  CrashTracker other;
  for (EndpointKey endpoint = 1; endpoint <= 8; ++endpoint) {
    BreakConnection(m_part, endpoint);
    BreakConnection(m_sharedPart, endpoint);
    ForwardNotices(m_tracker, other);
    other.OnCompleteAnswer(m_sharedPart);
    ForwardNotices(other, m_tracker);
  }
  CHECK(m_tracker.IsQuarantined(m_part));
  CHECK_FALSE(m_tracker.IsQuarantined(m_sharedPart));
  CHECK_FALSE(other.IsQuarantined(m_sharedPart));
}

// Endpoints that broke off streams now and then but kept answering hid the crashes of a part: the
// request that crashed one was sent before its last broken stream and counted as sent while down.
TEST(CrashTracker, CountsABreakOfARequestThatWasSentBeforeTheLatestDowntime)
{
  BreakConnection(m_good, 1);
  m_tracker.OnEndpointUp(1, kStart + 1s);
  m_tracker.OnConnectionBroken(Request("another"), 1, kStart + 2s, kStart + 3s);
  m_tracker.OnConnectionBroken(m_crashing, 1, kStart + 2900ms, kStart + 3100ms);
  LONGS_EQUAL(1, m_tracker.Find(m_crashing)->m_crashedEndpoints.size());
  m_tracker.OnConnectionBroken(m_part, 1, kStart + 3050ms, kStart + 3100ms); // sent while down
  CHECK_FALSE(m_tracker.Find(m_part).has_value());
}

TEST(CrashTracker, EndpointThatAnswersIsNotDownWhileItsCrashStands)
{
  BreakConnection(m_crashing, 1);
  CHECK(m_tracker.IsDown(1, kStart + 1s));
  m_tracker.OnEndpointUp(1, kStart - 1ms); // sent before the crash
  CHECK(m_tracker.IsDown(1, kStart + 1s));
  m_tracker.OnEndpointUp(1, kStart + 1ms);
  CHECK_FALSE(m_tracker.IsDown(1, kStart + 1s));
  CHECK(m_tracker.HasCrashed(1));
  LONGS_EQUAL(1, m_tracker.Find(m_crashing)->m_crashedEndpoints.size());
}

// All hosts answer prompts with a popular part before they hear that another one has.
TEST(CrashTracker, NoticesOfAClearedPartDoNotGrowWithHosts)
{
  for (const int hosts : { 10, 100, 1000 }) {
    CrashTracker reader;
    reader.OnConnectionBroken(m_part, 1, kStart, kStart);
    const CrashNotices crash = reader.Notices().Since(0, 10);
    for (int i = 0; i < hosts; ++i) {
      CrashTracker host;
      host.OnNotice(crash.front(), kStart);
      host.OnCompleteAnswer(m_part);
      ForwardNotices(host, reader);
    }
    LONGS_EQUAL(2, reader.Notices().End());
    CHECK_FALSE(reader.Find(m_part).has_value());
  }
}

TEST(CrashTracker, QuarantinesTwoCrashingRequestsIndependently)
{
  const ContentKey second = Request("second");
  for (EndpointKey endpoint = 1; endpoint <= 3; ++endpoint) {
    BreakConnection(m_crashing, endpoint);
    BreakConnection(second, endpoint + 10);
  }
  CHECK(m_tracker.IsQuarantined(m_crashing));
  CHECK(m_tracker.IsQuarantined(second));
}

TEST(CrashTracker, MergesRecordsAndIgnoresOnesOlderThanARemoval)
{
  m_tracker.OnRecord(m_crashing, { { 1, 2 }, false, false }, kStart);
  CHECK_FALSE(m_tracker.IsQuarantined(m_crashing));
  m_tracker.OnRecord(m_crashing, { { 2, 3 }, false, false }, kStart);
  CHECK(m_tracker.IsQuarantined(m_crashing));
  m_tracker.OnRecordRemoved(m_crashing);
  CHECK_FALSE(m_tracker.IsQuarantined(m_crashing));
  // A stale record, written by a host that had not yet learned of the removal.
  m_tracker.OnRecord(m_crashing, { { 1, 2, 3 }, false, false }, kStart);
  CHECK_FALSE(m_tracker.IsQuarantined(m_crashing));
}

TEST(CrashTracker, BoundsMemoryAndKeepsTheSuspectWithTheMostCrashes)
{
  CrashTrackerOptions options;
  options.m_maxSuspects = 256;
  options.m_maxNotices = 512;
  m_tracker = CrashTracker(options);
  for (int i = 0; i < 10'000; ++i) {
    BreakConnection(Request(std::to_string(i)), static_cast<EndpointKey>(i % 100 + 1000));
    if (i == 100 || i == 200 || i == 9'000) {
      BreakConnection(m_crashing, static_cast<EndpointKey>(i));
    }
  }
  CHECK(m_tracker.IsQuarantined(m_crashing));
  CHECK(m_tracker.ContentWithCrashes(1).size() <= 256);
  LONGS_EQUAL(512, m_tracker.Notices().Since(0, 10'000).size());
}

// Regression: an answer that ended with its connection lifted no quarantine, so that the only probe
// of a harmless request was lost.
TEST(CrashTracker, AClosedAnswerCountsOnceItsEndpointReplies)
{
  for (EndpointKey endpoint = 1; endpoint <= 3; ++endpoint) {
    BreakConnection(m_good, endpoint);
  }
  m_tracker.OnClosedAnswer(m_good, 4, kStart + 2ms);
  m_tracker.OnEndpointReply(5, kStart + 3ms);
  m_tracker.OnEndpointReply(4, kStart + 1ms); // to a request sent before
  CHECK(m_tracker.IsQuarantined(m_good));
  m_tracker.OnEndpointReply(4, kStart + 3ms);
  CHECK_FALSE(m_tracker.IsQuarantined(m_good));
}

TEST(CrashTracker, AClosedAnswerOfACrashedEndpointDoesNotLiftTheQuarantine)
{
  for (EndpointKey endpoint = 1; endpoint <= 3; ++endpoint) {
    m_tracker.OnClosedAnswer(m_crashing, endpoint, kStart);
    BreakConnection(m_crashing, endpoint);
  }
  CHECK(m_tracker.IsQuarantined(m_crashing));
}

TEST_GROUP(NoticeLog){};

TEST(NoticeLog, StoresEachNoticeOnceAndDropsTheOldest)
{
  NoticeLog log(3);
  for (EndpointKey endpoint = 1; endpoint <= 4; ++endpoint) {
    CHECK(log.Add({ NoticeKind::ConnectionBroken, {}, endpoint, 0 }));
  }
  CHECK_FALSE(log.Add({ NoticeKind::ConnectionBroken, {}, 4, 0 }));
  LONGS_EQUAL(4, log.End());
  LONGS_EQUAL(2, log.Since(2, 10).size());
  LONGS_EQUAL(3, log.Since(0, 10).size());
  LONGS_EQUAL(2, log.Since(0, 2).size());
  LONGS_EQUAL(3, log.NextOffset(0, 2));
  LONGS_EQUAL(3, log.Since(77, 10).size()); // an offset of another process's log
}

// Guards against a former fault: an address that closed each new connection immediately made a
// popular request a suspect again and again.
TEST(CrashTracker, IgnoresBreaksOfRequestsSentWhileTheEndpointIsDown)
{
  BreakConnection(m_crashing, 1);
  m_tracker.OnConnectionBroken(m_good, 1, kStart + 1ms, kStart + 3ms);
  CHECK_FALSE(m_tracker.Find(m_good).has_value());
  // A request that was in flight at the crash may have caused it.
  m_tracker.OnConnectionBroken(m_good, 1, kStart - 1ms, kStart + 3ms);
  LONGS_EQUAL(1, m_tracker.Find(m_good)->m_crashedEndpoints.size());
  // Later breaks do not move the time of the crash.
  m_tracker.OnConnectionBroken(Request("third"), 1, kStart + 2ms, kStart + 4ms);
  CHECK_FALSE(m_tracker.Find(Request("third")).has_value());
}

// The first break may have been a reset link, so a later one must be counted as a crash.
TEST(CrashTracker, CountsABreakAfterTheAssumedDowntime)
{
  BreakConnection(m_good, 1);
  m_tracker.OnConnectionBroken(m_crashing, 1, kStart + 1999ms, kStart + 2s);
  CHECK_FALSE(m_tracker.Find(m_crashing).has_value());
  m_tracker.OnConnectionBroken(m_crashing, 1, kStart + 2s, kStart + 2100ms);
  LONGS_EQUAL(1, m_tracker.Find(m_crashing)->m_crashedEndpoints.size());
}

TEST(CrashTracker, CountsABreakAfterTheEndpointRepliedAgain)
{
  BreakConnection(m_crashing, 1);
  m_tracker.OnEndpointReply(1, kStart + 1ms);
  m_tracker.OnConnectionBroken(m_good, 1, kStart + 2ms, kStart + 3ms);
  LONGS_EQUAL(1, m_tracker.Find(m_good)->m_crashedEndpoints.size());
}
