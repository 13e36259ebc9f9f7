// Endpoints that announce their shutdown in an answer, while the directory lists them as usable.
#include <algorithm> // for any_of

#include "tests/support/send_path_fixture.hpp" // for SendPathFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::WireEnd;

TEST_GROUP_BASE(ExchangeLeaving, support::SendPathFixture){
  /// @return the endpoint
  std::string AnswerLastCallAsLeaving(){ const std::string endpoint = SentHeader("to");
m_client.Head(200, { { "leaving", "1" } });
m_client.End(WireEnd::Complete);
return endpoint;
}
[[nodiscard]] bool WasSentTo(const std::string& aEndpoint, std::size_t aSinceCall) const
{
  return std::any_of(m_client.m_calls.begin() + static_cast<std::ptrdiff_t>(aSinceCall),
                     m_client.m_calls.end(),
                     [&](const auto& aCall) { return aCall.m_request.m_url == aEndpoint + ":1"; });
}
}
;

// Hosts sent to an endpoint until its entry changed, which took 13 s during an outage of the log.
TEST(ExchangeLeaving, GetsNoNewRequests)
{
  SendRequest("/once/x");
  const std::string leaving = AnswerLastCallAsLeaving();
  const std::size_t calls = m_client.m_calls.size();
  for (int i = 0; i < 40; ++i) {
    const char* path = i % 2 == 0 ? "/again/x" : "/resume/x";
    CHECK_FALSE(SendRequest(path, "k", i % 4 == 1 ? "m" : "")->m_finished);
  }
  LONGS_EQUAL(calls + 40, m_client.m_calls.size());
  CHECK_FALSE(WasSentTo(leaving, calls));
}

TEST(ExchangeLeaving, OpenRequestIsCompleted)
{
  const auto reply = SendRequest("/once/x");
  m_client.Head(200, { { "leaving", "1" } });
  m_client.Data("body");
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(200, reply->m_status);
  STRCMP_EQUAL("body", reply->m_body.c_str());
}

TEST(ExchangeLeaving, EntriesReadLaterDoNotRevertTheAnnouncement)
{
  SendRequest("/once/x");
  const std::string leaving = AnswerLastCallAsLeaving();
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_directory.SetOutageEnd(now);
  m_core.m_directory.Upsert(support::MakeEndpoint(leaving), now);
  m_core.m_directory.Remove(leaving, now);
  m_core.m_directory.Upsert(support::MakeEndpoint(leaving), now);
  LONGS_EQUAL(1, m_core.m_directory.Usable("s").size());
}

TEST(ExchangeLeaving, RefusedRequestIsRetriedElsewhere)
{
  SendRequest("/once/x");
  const std::string leaving = SentHeader("to");
  m_client.Head(503, { { "not-run", "1" }, { "leaving", "1" } });
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(2, m_client.m_calls.size());
  CHECK_FALSE(WasSentTo(leaving, 1));
}

TEST(ExchangeLeaving, BrokenStreamIsResumedElsewhere)
{
  SendRequest("/resume/x", "k", "m");
  const std::string leaving = SentHeader("to");
  m_client.Head(200, { { "leaving", "1" } });
  m_client.Data("id: 1\ndata: x\n\n");
  m_client.End(WireEnd::BrokenReply);
  LONGS_EQUAL(2, m_client.m_calls.size());
  CHECK_FALSE(WasSentTo(leaving, 1));
}

TEST(ExchangeLeaving, RequestIsRefusedAtOnceIfAllEndpointsLeave)
{
  for (int i = 0; i < 2; ++i) {
    SendRequest("/once/x");
    AnswerLastCallAsLeaving();
  }
  const auto reply = SendRequest("/again/x");
  LONGS_EQUAL(503, reply->m_status);
  STRCMP_EQUAL("not_run", reply->Header("run").c_str());
  LONGS_EQUAL(2, m_client.m_calls.size());
}

TEST(ExchangeLeaving, AnswersOfOthersAreIgnored)
{
  SendRequest("/once/x");
  m_client.Head(421, { { "misdirected", "1" }, { "incarnation", "other" }, { "leaving", "1" } });
  m_client.End(WireEnd::Complete);
  m_client.Head(200, { { "id", "other request" }, { "leaving", "1" } });
  m_client.End(WireEnd::Complete);
  CHECK(m_core.m_announcedLeaving.Empty());
}

// Another host chose the engine, and does not know of the announcement.
TEST(ExchangeLeaving, AssignedEngineIsNotUsed)
{
  UseRemoteDispatcher();
  SendRequest("/stream/x", "k", "long");
  m_core.m_directory.MarkLeaving("a"); // by another answer, while the dispatcher is asked
  AssignEngine("a");
  STRCMP_EQUAL("b", SentHeader("to").c_str());
}

TEST(ExchangeLeaving, EndpointIsCheckedAgainAfterWaitingForAPermit)
{
  const auto reply = SendRequestThatNeedsPermit();
  LONGS_EQUAL(1, m_client.m_calls.size()); // the request for a permit
  m_core.m_directory.MarkLeaving("a");
  GrantPermit();
  LONGS_EQUAL(1, m_client.m_calls.size());
  LONGS_EQUAL(503, reply->m_status);
}
