#include "ferrytray/net/http_server.hpp"

#include <optional> // for optional

#include "ferrytray/net/http_client.hpp" // for HttpClient

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP(HttpServer)
{
  net::Loop m_loop;
  std::unique_ptr<net::HttpClient> m_client = net::HttpClient::Create(m_loop);
  std::unique_ptr<net::HttpServer> m_server;
  std::optional<net::ClientOutcome> m_outcome;
  std::string m_body;

  void StartServer(net::HttpHandler aHandler)
  {
    m_server = std::move(*net::HttpServer::Create(m_loop, {}, std::move(aHandler)));
  }

  void SendRequest(net::ClientRequest aRequest = {})
  {
    m_outcome.reset();
    m_body.clear();
    aRequest.m_url = net::HttpBaseUrl(m_server->ListenAddress()) + "/";
    aRequest.m_timeout = 20s;
    m_client->Fetch(std::move(aRequest),
                    [this](const net::ClientOutcome& aOutcome, std::string aBody) {
                      m_outcome = aOutcome;
                      m_body = std::move(aBody);
                    });
  }

  void WaitForOutcome()
  {
    for (int i = 0; i < 4000 && !m_outcome; ++i) {
      m_loop.RunFor(5ms);
    }
    CHECK(m_outcome.has_value());
  }
};

TEST(HttpServer, CloseIdleKeepsConnectionWithReplyBeingWritten)
{
  constexpr std::size_t kLargerThanSocketBuffers = 32U << 20U;
  StartServer([this](const net::HttpRequest&, const std::shared_ptr<net::HttpReply>& aReply) {
    aReply->Send(200, {}, std::string(kLargerThanSocketBuffers, 'x'));
    m_server->CloseIdle();
    LONGS_EQUAL(1, m_server->PendingRequests());
  });
  SendRequest();
  WaitForOutcome();
  CHECK(m_outcome->m_end == net::WireEnd::Complete);
  LONGS_EQUAL(kLargerThanSocketBuffers, m_body.size());
  m_loop.RunFor(20ms);
  LONGS_EQUAL(0, m_server->PendingRequests());
}

TEST(HttpServer, AbortedStreamIsReportedAsIncomplete)
{
  StartServer([](const net::HttpRequest&, const std::shared_ptr<net::HttpReply>& aReply) {
    aReply->StartStream(200, {});
    aReply->Write("part");
    aReply->Abort();
  });
  SendRequest();
  WaitForOutcome();
  CHECK(m_outcome->m_end != net::WireEnd::Complete);
}

TEST(HttpServer, RequestTargetIsNotNormalized)
{
  std::string target;
  StartServer([&](const net::HttpRequest& aRequest, const std::shared_ptr<net::HttpReply>& aReply) {
    target = aRequest.m_target;
    aReply->Send(200, {}, "");
  });
  net::ClientRequest request;
  request.m_target = "/a%2Fb//../c?x=%20&&";
  SendRequest(request);
  WaitForOutcome();
  STRCMP_EQUAL("/a%2Fb//../c?x=%20&&", target.c_str());
}

TEST(HttpServer, SendOnceRequestIsNotResentOnClosedReusedConnection)
{
  int seen = 0;
  StartServer([&](const net::HttpRequest&, const std::shared_ptr<net::HttpReply>& aReply) {
    if (++seen == 1) {
      aReply->Send(200, {}, ""); // the connection is kept alive
    } else {
      aReply->Abort(); // closed without a reply: libcurl would resend the request
    }
  });
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_body = "x";
  request.m_sendOnce = true;
  SendRequest(request);
  WaitForOutcome();
  SendRequest(request);
  WaitForOutcome();
  LONGS_EQUAL(2, seen);
  CHECK(m_outcome->m_end == net::WireEnd::NoReply);
}
