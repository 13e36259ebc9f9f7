#include "ferrytray/quarantine/crash_board.hpp"

#include <string> // for to_string

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace ferrytray::quarantine;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint() + 100s;

RequestKey Request(const std::string& aBody, const std::string& aAccount = "lab")
{
  return KeyOf({ aAccount, "POST", "h.example", "/again/x", aBody });
}

} // namespace

TEST_GROUP(CrashBoard)
{
  CrashBoard m_board;
  RequestKey m_bad = Request("bad");
  RequestKey m_good = Request("good");

  void Break(const RequestKey& aRequest, EndpointKey aEndpoint)
  {
    m_board.OnBroken(aRequest, aEndpoint, kStart, kStart);
  }

  /// Passes all that one host knows on to another one.
  static void PassOn(const CrashBoard& aFrom, CrashBoard& aTo)
  {
    for (const CrashNotice& notice : aFrom.Notices().Since(0, 10'000)) {
      aTo.OnNotice(notice, kStart);
    }
  }
};

TEST(CrashBoard, UnderThreeEndpointsItIsKeptFromAll)
{
  Break(m_bad, 1);
  Break(m_bad, 2);
  CHECK_FALSE(m_board.IsQuarantined(m_bad));
  Break(m_bad, 3);
  CHECK(m_board.IsQuarantined(m_bad));
  LONGS_EQUAL(1, m_board.QuarantinedRequests().size());
}

TEST(CrashBoard, OneEndpointCountsOnceHoweverManyOfItsRequestsBroke)
{
  for (int i = 0; i < 5; ++i) {
    Break(m_bad, 1);
    Break(m_bad, 2);
  }
  CHECK_FALSE(m_board.IsQuarantined(m_bad));
}

TEST(CrashBoard, WhatIsAlikeIsTheAccountsOwnAndWhole)
{
  const RequestKey other = KeyOf({ "lab", "POST", "h.example", "/again/y", "bad" });
  const RequestKey get = KeyOf({ "lab", "GET", "h.example", "/again/x", "bad" });
  const RequestKey host = KeyOf({ "lab", "POST", "i.example", "/again/x", "bad" });
  for (const RequestKey& key : { Request("bad", "club"), other, get, host, m_good }) {
    CHECK(key != m_bad);
  }
  CHECK(KeyOf({ "ab", "", "", "", "" }) != KeyOf({ "a", "b", "", "", "" }));
  CHECK(Request("bad") == m_bad);
}

TEST(CrashBoard, EachEndSeenByAnotherHostCountsAsOne)
{
  CrashBoard second;
  CrashBoard third;
  Break(m_bad, 1);
  second.OnBroken(m_bad, 2, kStart, kStart);
  third.OnBroken(m_bad, 3, kStart, kStart);
  PassOn(third, second);
  PassOn(second, m_board);
  CHECK(m_board.IsQuarantined(m_bad));
  PassOn(m_board, third);
  CHECK(third.IsQuarantined(m_bad));
}

TEST(CrashBoard, AWholeAnswerClearsItHereAndElsewhere)
{
  CrashBoard other;
  for (EndpointKey end = 1; end <= 3; ++end) {
    Break(m_good, end);
  }
  PassOn(m_board, other);
  CHECK(other.IsQuarantined(m_good));
  other.OnAnswered(m_good);
  CHECK_FALSE(other.IsQuarantined(m_good));
  PassOn(other, m_board);
  CHECK_FALSE(m_board.IsQuarantined(m_good));
  // What is passed on late says nothing new.
  PassOn(m_board, other);
  CHECK_FALSE(other.Find(m_good).has_value());
}

// Endpoints of one rack lose power together, and a popular request runs at all of them.
TEST(CrashBoard, OfARequestThatWasAnsweredBeforeMoreEndsAreNeeded)
{
  CrashBoard other;
  m_board.OnAnswered(m_good);
  for (EndpointKey end = 1; end <= 5; ++end) {
    Break(m_good, end);
  }
  CHECK_FALSE(m_board.IsQuarantined(m_good));
  PassOn(m_board, other); // which never served it
  CHECK_FALSE(other.IsQuarantined(m_good));
  Break(m_good, 6);
  CHECK(m_board.IsQuarantined(m_good));
}

TEST(CrashBoard, AnEndpointThatAnswersAgainHasNotEnded)
{
  for (EndpointKey end = 1; end <= 3; ++end) {
    Break(m_good, end);
  }
  m_board.OnReply(2, kStart - 1ms); // sent before: it may have come while the endpoint ended
  CHECK(m_board.IsQuarantined(m_good));
  m_board.OnReply(2, kStart + 1ms);
  CHECK_FALSE(m_board.IsQuarantined(m_good));
  LONGS_EQUAL(2, m_board.Find(m_good)->m_ends.size());
}

TEST(CrashBoard, AnEndAfterThatCountsAgain)
{
  Break(m_bad, 1);
  m_board.OnReply(1, kStart + 1ms);
  CHECK_FALSE(m_board.Find(m_bad).has_value());
  Break(m_bad, 2);
  Break(m_bad, 3);
  Break(m_bad, 4);
  CHECK(m_board.IsQuarantined(m_bad));
}

// A long answer that is always alike may run at every endpoint that others end, and never be whole.
TEST(CrashBoard, WhatWasKeptAwayIsSentOnceMoreAndOnlyOnceWhateverHostDoesSo)
{
  CrashBoard other;
  for (EndpointKey end = 1; end <= 3; ++end) {
    Break(m_good, end);
  }
  CHECK_FALSE(m_board.MayTry(m_good, kStart + 4999ms));
  CHECK(m_board.MayTry(m_good, kStart + 5s));
  CHECK_FALSE(m_board.MayTryAnywhere(m_good, kStart + 14999ms));
  CHECK(m_board.MayTryAnywhere(m_good, kStart + 15s));
  CHECK_FALSE(m_board.MayTry(m_bad, kStart + 5s));
  m_board.OnTried(m_good, kStart + 5s);
  CHECK(m_board.IsQuarantined(m_good));
  CHECK_FALSE(m_board.MayTry(m_good, kStart + 1h));
  PassOn(m_board, other);
  CHECK_FALSE(other.MayTry(m_good, kStart + 1h));
  CrashBoard started;
  started.OnRecord(m_good, *m_board.Find(m_good), kStart);
  CHECK_FALSE(started.MayTry(m_good, kStart + 1h));
  m_board.OnAnswered(m_good);
  CHECK_FALSE(m_board.IsQuarantined(m_good));
}

TEST(CrashBoard, TwoThatEndEndpointsAtOnceAreBothFound)
{
  const RequestKey second = Request("second");
  for (EndpointKey end = 1; end <= 3; ++end) {
    Break(m_bad, end);
    Break(second, end + 10);
  }
  CHECK(m_board.IsQuarantined(m_bad));
  CHECK(m_board.IsQuarantined(second));
}

TEST(CrashBoard, RecordsTellAHostThatStartsAndMergeInAnyOrder)
{
  m_board.OnRecord(m_bad, { { 1, 2 }, false, false }, kStart);
  CHECK_FALSE(m_board.IsQuarantined(m_bad));
  m_board.OnRecord(m_bad, { { 2, 3 }, false, false }, kStart);
  CHECK(m_board.IsQuarantined(m_bad));
  m_board.OnRecordRemoved(m_bad);
  CHECK_FALSE(m_board.IsQuarantined(m_bad));
  // A record written by a host that has not heard of that.
  m_board.OnRecord(m_bad, { { 1, 2, 3 }, false, false }, kStart);
  CHECK_FALSE(m_board.IsQuarantined(m_bad));
}

TEST(CrashBoard, ThousandsOfRequestsThatFailOnceTakeBoundedRoomAndHideNoneThatEndsEndpoints)
{
  CrashBoardOptions options;
  options.m_mostSuspects = 256;
  options.m_mostNotices = 512;
  m_board = CrashBoard(options);
  for (int i = 0; i < 10'000; ++i) {
    Break(Request(std::to_string(i)), static_cast<EndpointKey>(i % 100 + 1000));
    if (i == 100 || i == 200 || i == 9'000) {
      Break(m_bad, static_cast<EndpointKey>(i));
    }
  }
  CHECK(m_board.IsQuarantined(m_bad));
  CHECK(m_board.WithEnds(1).size() <= 256);
  LONGS_EQUAL(512, m_board.Notices().Since(0, 10'000).size());
}

TEST_GROUP(NoticeLog){};

TEST(NoticeLog, GivesEachOnceFromANumberOnAndForgetsTheOldest)
{
  NoticeLog log(3);
  for (EndpointKey end = 1; end <= 4; ++end) {
    CHECK(log.Add({ NoticeKind::Broken, {}, end, 0 }));
  }
  CHECK_FALSE(log.Add({ NoticeKind::Broken, {}, 4, 0 }));
  LONGS_EQUAL(4, log.End());
  LONGS_EQUAL(2, log.Since(2, 10).size());
  LONGS_EQUAL(3, log.Since(0, 10).size());
  LONGS_EQUAL(2, log.Since(0, 2).size());
  LONGS_EQUAL(3, log.After(0, 2));
  LONGS_EQUAL(3, log.Since(77, 10).size()); // a number of another process
}

// Seen: an address that closed each connection at once blamed a popular request, again and again.
TEST(CrashBoard, WhatWasSentAfterAnEndpointHadEndedIsNotBlamed)
{
  Break(m_bad, 1);
  m_board.OnBroken(m_good, 1, kStart + 1ms, kStart + 3ms);
  CHECK_FALSE(m_board.Find(m_good).has_value());
  // What was on its way when it ended may have ended it.
  m_board.OnBroken(m_good, 1, kStart - 1ms, kStart + 3ms);
  LONGS_EQUAL(1, m_board.Find(m_good)->m_ends.size());
  // Later ends there do not make it end later.
  m_board.OnBroken(Request("third"), 1, kStart + 2ms, kStart + 4ms);
  CHECK_FALSE(m_board.Find(Request("third")).has_value());
}

// A link that resets looks like an endpoint that ends, which may then end in earnest.
TEST(CrashBoard, AnEndpointThatBrokeOffLongBeforeMayBeEnded)
{
  Break(m_good, 1);
  m_board.OnBroken(m_bad, 1, kStart + 1999ms, kStart + 2s);
  CHECK_FALSE(m_board.Find(m_bad).has_value());
  m_board.OnBroken(m_bad, 1, kStart + 2s, kStart + 2100ms);
  LONGS_EQUAL(1, m_board.Find(m_bad)->m_ends.size());
}

TEST(CrashBoard, OnceItHasAnsweredAgainAnEndpointsEndCounts)
{
  Break(m_bad, 1);
  m_board.OnReply(1, kStart + 1ms);
  m_board.OnBroken(m_good, 1, kStart + 2ms, kStart + 3ms);
  LONGS_EQUAL(1, m_board.Find(m_good)->m_ends.size());
}
