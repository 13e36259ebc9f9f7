// How the end of an endpoint's reply decides what the caller gets.
#include "tests/support/exchange_fixture.hpp" // for ExchangeFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace support;
using net::WireEnd;

namespace {

constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";
constexpr const char* kSecondEvent = "id: 2\ndata: b\n\n";
const net::Headers kEventStream{ { "Content-Type", "text/event-stream" } };

} // namespace

TEST_GROUP_BASE(ExchangeReplyEnd, ExchangeFixture){
  /// Starts a streaming request whose endpoint sends these bytes and closes the connection.
  std::shared_ptr<FakeReply> StreamThenClose(const std::string& aPath, const std::string& aBytes){
    auto reply = SendRequest(aPath);
m_client.Head(200, kEventStream);
m_client.Data(aBytes);
m_client.End(WireEnd::Closed);
return reply;
}
std::size_t CrashesRecorded()
{
  return m_core.m_crashes.Find(KeyOfRequest()).has_value() ? 1 : 0;
}
/// The key of the requests that SendRequest() sends to /again/.
static quarantine::ContentKey KeyOfRequest()
{
  return quarantine::KeyOf({ "lab", "", "h", "/again/", "" });
}
}
;

// Regression: callers got a stream that broke off within an event as a complete one.
TEST(ExchangeReplyEnd, ClosedWithinEventAbortsReply)
{
  const auto reply = StreamThenClose("/stream/", std::string(kFirstEvent) + "id: 2\nda");
  CHECK(reply->m_aborted);
  CHECK_FALSE(reply->m_finished);
  STRCMP_EQUAL(kFirstEvent, reply->m_body.c_str());
  LONGS_EQUAL(1, m_client.m_calls.size());
}

TEST(ExchangeReplyEnd, ClosedWithinEventResumesAfterLastEvent)
{
  const auto reply = StreamThenClose("/resume/", std::string(kFirstEvent) + "id: 2\nda");
  LONGS_EQUAL(2, m_client.m_calls.size());
  STRCMP_EQUAL("1", SentHeader("after").c_str());
  m_client.Head(200, kEventStream);
  m_client.Data(kSecondEvent);
  m_client.End(WireEnd::Closed);
  CHECK(reply->m_finished);
  STRCMP_EQUAL((std::string(kFirstEvent) + kSecondEvent).c_str(), reply->m_body.c_str());
}

// The second endpoint would have sent the event without an id again.
TEST(ExchangeReplyEnd, StreamIsNotResumedAfterEventWithoutId)
{
  const auto reply =
    StreamThenClose("/resume/", std::string(kFirstEvent) + "data: without id\n\nid: 2\nda");
  LONGS_EQUAL(1, m_client.m_calls.size());
  CHECK(reply->m_aborted);
}

TEST(ExchangeReplyEnd, LastChunkWithinEventAbortsReply)
{
  const auto reply = SendRequest("/stream/");
  m_client.Head(200, kEventStream);
  m_client.Data(std::string(kFirstEvent) + "id: 2\ndata: b\n");
  m_client.End(WireEnd::Complete);
  CHECK(reply->m_aborted);
  STRCMP_EQUAL(kFirstEvent, reply->m_body.c_str());
}

TEST(ExchangeReplyEnd, ClosedWithinFirstEventFailsBeforeReplyStarts)
{
  const auto reply = StreamThenClose("/stream/", "id: 1\nda");
  LONGS_EQUAL(502, reply->m_status);
  STRCMP_EQUAL("unknown", reply->Header("run").c_str());
}

TEST(ExchangeReplyEnd, ClosedWithoutEventFailsBeforeReplyStarts)
{
  LONGS_EQUAL(502, StreamThenClose("/stream/", "")->m_status);
}

TEST(ExchangeReplyEnd, ClosedBetweenEventsFinishesReply)
{
  const std::string events = std::string(kFirstEvent) + kSecondEvent;
  const auto reply = StreamThenClose("/stream/", events);
  CHECK(reply->m_finished);
  STRCMP_EQUAL(events.c_str(), reply->m_body.c_str());
}

TEST(ExchangeReplyEnd, ClosedJsonThatDoesNotParseIsSentAgain)
{
  const auto reply = SendRequest("/again/");
  m_client.Head(200, { { "Content-Type", "application/json" } });
  m_client.Data("{\"a\":");
  m_client.End(WireEnd::Closed);
  LONGS_EQUAL(2, m_client.m_calls.size());
  m_client.Head(200, { { "Content-Type", "application/json" } });
  m_client.Data("{\"a\":1}");
  m_client.End(WireEnd::Closed);
  LONGS_EQUAL(200, reply->m_status);
  STRCMP_EQUAL("{\"a\":1}", reply->m_body.c_str());
}

TEST(ExchangeReplyEnd, StreamingRouteForwardsOtherContentAsWhole)
{
  const auto reply = SendRequest("/stream/");
  m_client.Head(200, { { "Content-Type", "application/json" } });
  m_client.Data("{}");
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(200, reply->m_status);
  STRCMP_EQUAL("{}", reply->m_body.c_str());
  CHECK(reply->m_finished);
}

TEST(ExchangeReplyEnd, OtherContentDoesNotContinueStream)
{
  const auto reply = StreamThenClose("/resume/", std::string(kFirstEvent) + "id: 2\nda");
  m_client.Head(200, { { "Content-Type", "application/json" } });
  m_client.Data("{}");
  m_client.End(WireEnd::Complete);
  CHECK(reply->m_aborted);
  STRCMP_EQUAL(kFirstEvent, reply->m_body.c_str());
}

// An event that never ends occupied memory until the deadline.
TEST(ExchangeReplyEnd, EventBeyondSizeLimitEndsRequestAtOnce)
{
  m_core.m_options.m_maxReplyBytes = 100;
  const auto reply = SendRequest("/stream/");
  m_client.Head(200, kEventStream);
  m_client.Data(kFirstEvent);
  m_client.Data("data: " + std::string(100, 'x'));
  CHECK(reply->m_aborted);
  CHECK(m_client.m_calls.back().m_cancelled);
}

// The close of a connection says nothing about whether its endpoint crashed.
TEST(ExchangeReplyEnd, ClosedReplyKeepsSuspicionOfRequest)
{
  const auto failed = SendRequest("/again/");
  m_client.End(WireEnd::NoReply);
  LONGS_EQUAL(1, CrashesRecorded());
  m_client.Head(200, {});
  m_client.End(WireEnd::Closed);
  LONGS_EQUAL(200, failed->m_status);
  LONGS_EQUAL(1, CrashesRecorded());
  const auto complete = SendRequest("/again/");
  m_client.Head(200, {});
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(200, complete->m_status);
  LONGS_EQUAL(0, CrashesRecorded());
}
