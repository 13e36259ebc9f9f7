// Replies and connections: a reply is attributed to the right request and to the right send of it.
#include "tests/support/exchange_fixture.hpp" // for ExchangeFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using net::WireEnd;

TEST_GROUP_BASE(ExchangeConnection, support::ExchangeFixture){};

// Regression: a second 421 to the first send of a request arrived after its second send, was taken
// for the reply to that one, and the request ran twice.
TEST(ExchangeConnection, SecondSendToAnEndpointUsesANewConnection)
{
  m_core.m_directory.MarkGone("b");
  SendRequest("/stream/x", "k", "m");
  CHECK_FALSE(m_client.m_calls.back().m_request.m_freshConnection);
  m_client.Head(421, { { "not-run", "1" }, { "misdirected", "1" }, { "incarnation", "a" } });
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(2, m_client.m_calls.size());
  STRCMP_EQUAL("a", SentHeader("to").c_str());
  CHECK(m_client.m_calls.back().m_request.m_freshConnection);
  SendRequest("/stream/x", "k", "m"); // another request
  CHECK_FALSE(m_client.m_calls.back().m_request.m_freshConnection);
}

TEST(ExchangeConnection, SendToAnotherEndpointMayReuseItsConnection)
{
  SendRequest("/once/x");
  m_client.Head(503, { { "not-run", "1" } });
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(2, m_client.m_calls.size());
  CHECK_FALSE(m_client.m_calls.back().m_request.m_freshConnection);
}

// Regression: after a reply of another request, each request on that connection got the reply to
// the one before it and ended as 502.
TEST(ExchangeConnection, ConnectionWithReplyOfAnotherRequestIsClosed)
{
  const auto reply = SendRequest("/once/x");
  m_client.Head(200, { { "id", "r0" } });
  CHECK(m_client.m_calls.back().m_abandoned);
  m_client.End(WireEnd::BrokenReply);
  LONGS_EQUAL(502, reply->m_status);
  STRCMP_EQUAL("unknown", reply->Header("run").c_str());
  SendRequest("/once/x");
  m_client.Head(200, {});
  CHECK_FALSE(m_client.m_calls.back().m_abandoned);
}
