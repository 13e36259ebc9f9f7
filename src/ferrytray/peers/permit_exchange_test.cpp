// Requests for permits between hosts.
#include <limits> // for numeric_limits

#include "ferrytray/peers/permit_messages.hpp" // for PermitReply, PermitRequest
#include "tests/support/news_fixture.hpp"      // for PeerExchangeFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using peers::PermitReply;
using peers::PermitRequest;

TEST_GROUP_BASE(PermitExchange, support::PeerExchangeFixture){
  /// Sends bytes to the reader as a request for permits. @return the status of the reply
  int StatusOf(const std::string& aBody){
    const auto reader = peers::DecodePeer(m_reader->m_log.m_topics["hosts"].front().m_value);
net::ClientRequest request;
request.m_method = "POST";
request.m_url = "http://" + reader->m_address + std::string(peers::PeerExchange::kPermitPath);
request.m_body = aBody;
int status = 0;
m_client->Fetch(std::move(request), [&](const net::ClientOutcome& aOutcome, const std::string&) {
  status = aOutcome.m_status;
});
CHECK(RunUntil([&] { return status != 0; }));
return status;
}
}
;

TEST(PermitExchange, MessagesAreEncodedAndDecoded)
{
  const PermitRequest request{ "z", { 1ULL << 60, 2.5, 400, true } };
  const auto readRequest = peers::DecodePermitRequest(peers::Encode(request));
  STRCMP_EQUAL("z", readRequest->m_zone.c_str());
  CHECK(readRequest->m_limit.m_endpoint == 1ULL << 60);
  DOUBLES_EQUAL(2.5, readRequest->m_limit.m_limit, 0);
  LONGS_EQUAL(400, readRequest->m_limit.m_namedAgeMillis);
  CHECK(readRequest->m_limit.m_lifted);
  const auto readReply = peers::DecodePermitReply(peers::Encode(PermitReply{ 3, true, 250 }));
  LONGS_EQUAL(3, readReply->m_granted);
  CHECK(readReply->m_unlimited);
  LONGS_EQUAL(250, readReply->m_retryAfterMillis);
}

TEST(PermitExchange, TruncatedMessagesAreRejected)
{
  const std::string request = peers::Encode(PermitRequest{ "z", { 1, 2.5, 400, true } });
  const std::string reply = peers::Encode(PermitReply{ 3, true, 250 });
  for (std::size_t size = 0; size < request.size(); ++size) {
    CHECK_FALSE(peers::DecodePermitRequest(request.substr(0, size)).has_value());
  }
  for (std::size_t size = 0; size < reply.size(); ++size) {
    CHECK_FALSE(peers::DecodePermitReply(reply.substr(0, size)).has_value());
  }
}

TEST(PermitExchange, InvalidRequestsAreRejected)
{
  std::size_t handled = 0;
  m_reader->m_exchange.OnPermitRequest([&](const PermitRequest&) {
    ++handled;
    return PermitReply{ 1, false, 0 };
  });
  LONGS_EQUAL(400, StatusOf("no message"));
  const double notANumber = std::numeric_limits<double>::quiet_NaN();
  LONGS_EQUAL(400, StatusOf(peers::Encode(PermitRequest{ "z", { 1, notANumber, 0, false } })));
  LONGS_EQUAL(400, StatusOf(peers::Encode(PermitRequest{ "z", { 1, -1, 0, false } })));
  LONGS_EQUAL(0, handled);
  LONGS_EQUAL(200, StatusOf(peers::Encode(PermitRequest{ "z", { 1, 2.5, 0, false } })));
  LONGS_EQUAL(1, handled);
}

TEST(PermitExchange, HostThatShutsDownIssuesNoPermits)
{
  m_reader->m_exchange.OnPermitRequest([](const PermitRequest&) {
    return PermitReply{ 1, false, 0 };
  });
  m_reader->m_exchange.Leave();
  LONGS_EQUAL(503, StatusOf(peers::Encode(PermitRequest{ "z", { 1, 2.5, 0, false } })));
}
