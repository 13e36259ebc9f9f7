// The memory that one request holds: its body and what its caller has not read of the reply.
#include "ferrytray/relay/exchange.hpp"

#include "tests/support/exchange_fixture.hpp" // for ExchangeFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP_BASE(ExchangePacing, support::ExchangeFixture)
{
  static constexpr std::size_t kLimit = 1000;

  void setup() override
  {
    ExchangeFixture::setup();
    m_core.m_options.m_unread = { 0, kLimit, kLimit, 30ms, 0 };
  }
  /// Starts a stream whose caller reads nothing of its first event.
  std::shared_ptr<support::FakeReply> StartUnreadStream()
  {
    const auto reply = SendRequest("/resume/x");
    m_client.Head(200, {});
    reply->m_pendingBytes = kLimit + 1;
    m_client.Data("id: 1\ndata: x\n\n");
    return reply;
  }
};

// Guards against hosts that are killed for their memory: each request's body was held three times.
TEST(ExchangePacing, AllSendsShareTheBodyOfTheRequest)
{
  const auto reply = SendRequest("/again/x", "k", "", std::string(1U << 20U, 'x'));
  const char* first = m_client.m_calls.back().m_request.m_body.c_str();
  m_client.End(net::WireEnd::NotSent);
  LONGS_EQUAL(2, m_client.m_calls.size());
  POINTERS_EQUAL(first, m_client.m_calls.back().m_request.m_body.c_str());
}

// Guards against hosts that are killed for their memory: a stream that its caller did not read was
// held whole.
TEST(ExchangePacing, EndpointWaitsForCallerThatReadsSlowly)
{
  const auto reply = StartUnreadStream();
  CHECK(m_client.m_calls.back().m_paused);
  reply->m_pendingBytes = kLimit / 2 + 1;
  reply->m_onWritten();
  CHECK(m_client.m_calls.back().m_paused);
  reply->m_pendingBytes = kLimit / 2;
  reply->m_onWritten();
  CHECK_FALSE(m_client.m_calls.back().m_paused);
  m_loop.RunFor(60ms);
  CHECK_FALSE(reply->m_aborted);
  m_client.Data("id: 2\ndata: y\n\n");
  m_client.End(net::WireEnd::Complete);
  CHECK(reply->m_finished);
}

TEST(ExchangePacing, CallerThatStopsReadingIsDisconnected)
{
  const auto reply = StartUnreadStream();
  for (int i = 0; i < 4; ++i) { // each piece that is read grants more time
    m_loop.RunFor(15ms);
    reply->m_onWritten();
    CHECK_FALSE(reply->m_aborted);
  }
  m_loop.RunFor(60ms);
  CHECK(reply->m_aborted);
  CHECK(m_client.m_calls.back().m_cancelled);
}

TEST(ExchangePacing, UnreadBytesOfAllRepliesHaveOneLimit)
{
  m_core.m_options.m_unread = { 4000, 100, 2000, 1s, 0 };
  m_core.m_openExchanges = 9; // others
  const auto reply = SendRequest("/resume/x");
  m_client.Head(200, {});
  reply->m_pendingBytes = 400;
  m_client.Data("id: 1\ndata: x\n\n");
  CHECK_FALSE(m_client.m_calls.back().m_paused);
  reply->m_pendingBytes = 401;
  m_client.Data("id: 2\ndata: x\n\n");
  CHECK(m_client.m_calls.back().m_paused);
  m_core.m_openExchanges = 1;
}
