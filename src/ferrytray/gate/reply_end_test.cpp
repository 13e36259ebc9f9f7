// How the end of an endpoint's or another gate's reply decides what the caller gets.
#include <memory>  // for make_shared, make_unique
#include <utility> // for exchange, move

#include "ferrytray/gate/request_forwarding.hpp" // for ForwardRequest
#include "ferrytray/gate/service_exchange.hpp"   // for ServiceExchange
#include "tests/support/fake_http.hpp"           // for FakeHttpClient, FakeReply

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using net::WireEnd;
using support::FakeReply;

TEST_GROUP(GateReplyEnd)
{
  net::Loop m_loop;
  gate::GateCore m_core{ m_loop, {} };
  support::FakeHttpClient* m_client = nullptr; ///< owned by the core
  std::unique_ptr<net::HttpClient> m_unused;   ///< of the parts that are not tested here
  std::shared_ptr<FakeReply> m_reply = std::make_shared<FakeReply>();

  void setup() override
  {
    auto client = std::make_unique<support::FakeHttpClient>();
    m_client = client.get();
    m_unused = std::exchange(m_core.m_http, std::move(client));
    std::vector<wire::EndpointStatus> endpoints(2);
    for (wire::EndpointStatus& endpoint : endpoints) {
      endpoint.m_host.m_role = wire::Role::Service;
      endpoint.m_host.m_pool = "search";
      endpoint.m_host.m_name = "e" + std::to_string(&endpoint - endpoints.data());
    }
    m_core.m_view.OnEndpoints(std::move(endpoints), base::MonotonicNow());
  }

  void Reply(const std::string& aBody, WireEnd aEnd)
  {
    const auto events = m_client->m_calls.back().m_events;
    if (events.m_onStatus) {
      events.m_onStatus(200);
    }
    m_client->m_calls.back().m_status = 200;
    m_client->Data(aBody);
    m_client->End(aEnd);
  }

  void Forward()
  {
    gate::ForwardRequest(m_core, "127.0.0.1:1", {}, "r1", m_reply);
  }

  void CallService(bool aIdempotent)
  {
    gate::ServiceCall call;
    call.m_service = { "search", "/search/", aIdempotent };
    call.m_arrival = base::MonotonicNow();
    std::make_shared<gate::ServiceExchange>(m_core, std::move(call), m_reply)->Start();
  }
};

// Regression: an error event was appended, also within an event, and the reply ended as complete.
TEST(GateReplyEnd, ForwardedResponseThatBreaksOffIsAborted)
{
  for (const WireEnd end : { WireEnd::BrokenReply, WireEnd::Closed }) {
    m_reply = std::make_shared<FakeReply>();
    Forward();
    Reply("data: {\"text\":\"a", end);
    CHECK(m_reply->m_aborted);
    CHECK_FALSE(m_reply->m_finished);
    STRCMP_EQUAL("data: {\"text\":\"a", m_reply->m_body.c_str());
  }
}

TEST(GateReplyEnd, ForwardedResponseThatIsCompleteIsFinished)
{
  Forward();
  Reply("data: [DONE]\n\n", WireEnd::Complete);
  CHECK(m_reply->m_finished);
}

// Regression: a truncated response was answered, and stored for its key, as a complete one.
TEST(GateReplyEnd, ClosedResponseOfServiceMustParse)
{
  CallService(false);
  Reply("{\"results\":[1,", WireEnd::Closed);
  CHECK(m_reply->m_status >= 500);
  LONGS_EQUAL(1, m_client->m_calls.size());
}

TEST(GateReplyEnd, TruncatedResponseOfIdempotentServiceIsRequestedAgain)
{
  CallService(true);
  Reply("{\"results\":[1,", WireEnd::Closed);
  LONGS_EQUAL(2, m_client->m_calls.size());
  Reply("{\"results\":[1,2]}", WireEnd::Closed);
  LONGS_EQUAL(200, m_reply->m_status);
  STRCMP_EQUAL("{\"results\":[1,2]}", m_reply->m_body.c_str());
}
