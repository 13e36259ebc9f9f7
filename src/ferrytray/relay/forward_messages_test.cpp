#include "ferrytray/relay/forward_messages.hpp"

#include "tests/support/forward_fixture.hpp" // for ForwardFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace ferrytray::relay;
using namespace std::chrono_literals;

TEST_GROUP(ForwardMessages){ static bool IsAccepted(const ForwardedRequest& aRequest){
  return DecodeForwardedRequest(Encode(aRequest)).has_value();
}
}
;

TEST(ForwardMessages, RequestIsDecodedUnchanged)
{
  ForwardedRequest sent = support::ForwardFixture::MakeForwarded(true);
  sent.m_request.m_prompt = Prompt{ "m", 7, 8, { { "p", 9 } } };
  sent.m_request.m_resumeAfter = 4;
  sent.m_request.m_forwardedHeaders = { { "A", "b c" } };
  sent.m_excluded = { "e/1" };
  sent.m_route.m_priority = 2;
  const base::Result<ForwardedRequest> received = DecodeForwardedRequest(Encode(sent));
  CHECK(received.has_value());
  STRCMP_EQUAL("/once/x?q=1", received->m_request.m_target.c_str());
  STRCMP_EQUAL("body", received->m_request.m_body.c_str());
  CHECK(*received->m_request.m_deadline == 2s);
  LONGS_EQUAL(9, received->m_request.m_prompt->m_parts.front().m_tokens);
  LONGS_EQUAL(4, *received->m_request.m_resumeAfter);
  STRCMP_EQUAL("b c", received->m_request.m_forwardedHeaders.front().second.c_str());
  STRCMP_EQUAL("lab", received->m_account->m_name.c_str());
  CHECK(received->m_account->m_isolated);
  LONGS_EQUAL(3, *received->m_account->m_priority);
  CHECK(received->m_route.m_idempotent);
  CHECK(received->m_route.m_timeout == 5s);
  LONGS_EQUAL(2, received->m_route.m_priority);
  STRCMP_EQUAL("s", received->m_route.m_services.front().m_service.c_str());
  LONGS_EQUAL(1, received->m_excluded.count("e/1"));
}

TEST(ForwardMessages, RejectsWhatWouldBreakTheRequestToTheEndpoint)
{
  const ForwardedRequest valid = support::ForwardFixture::MakeForwarded();
  CHECK(IsAccepted(valid));
  ForwardedRequest request = valid;
  request.m_request.m_target = "/x HTTP/1.1\r\nX-Account: other";
  CHECK_FALSE(IsAccepted(request));
  request = valid;
  request.m_request.m_method = "GET /";
  CHECK_FALSE(IsAccepted(request));
  request = valid;
  request.m_request.m_forwardedHeaders = { { "A", "b\r\nX-Account: other" } };
  CHECK_FALSE(IsAccepted(request));
  request = valid;
  request.m_request.m_forwardedHeaders = { { "A: b\r\nC", "d" } };
  CHECK_FALSE(IsAccepted(request));
  request = valid;
  request.m_request.m_id.clear();
  CHECK_FALSE(IsAccepted(request));
}

TEST(ForwardMessages, RejectsTruncatedAndForeignBytes)
{
  const std::string bytes = Encode(support::ForwardFixture::MakeForwarded());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeForwardedRequest(bytes.substr(0, size)).has_value());
  }
  CHECK_FALSE(DecodeForwardedRequest(std::string(64, '\xff')).has_value());
}

TEST(ForwardMessages, FailureIsDecodedUnchanged)
{
  net::Headers headers = WriteForwardFailure(
    { { base::ErrorCode::EnginesFull, "", base::RunState::Unknown, 1250ms }, true, true });
  headers.emplace_back("X", "y");
  const ForwardReply reply = TakeForwardReply(headers);
  CHECK(reply.m_failure->m_failure.m_code == base::ErrorCode::EnginesFull);
  CHECK(reply.m_failure->m_failure.m_run == base::RunState::Unknown);
  CHECK(reply.m_failure->m_failure.m_retryAfter == 1250ms);
  CHECK(reply.m_failure->m_declined);
  CHECK(reply.m_failure->m_arrived);
  LONGS_EQUAL(1, headers.size());
}

TEST(ForwardMessages, ReplyWithoutItsHeadersCountsAsDeclined)
{
  for (const net::Headers& sent :
       { net::Headers{}, net::Headers{ { "Ferrytray-Failure", "4001 0" } } }) {
    net::Headers headers = sent;
    const ForwardReply reply = TakeForwardReply(headers);
    CHECK(reply.m_failure->m_declined);
    CHECK(reply.m_failure->m_failure.m_run == base::RunState::NotRun);
  }
}
