#include "ferrytray/net/http_client.hpp"

#include <optional> // for optional

#include "tests/support/raw_http_server.hpp" // for RawHttpServer

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::ReplyFraming;
using net::WireEnd;

namespace {

const net::Headers kChunks{ { "Transfer-Encoding", "chunked" } };
const net::Headers kNoFraming;
constexpr std::size_t kLargerThanSocketBuffers = 8U << 20U;

net::Headers Length(std::size_t aBytes)
{
  return { { "Content-Length", std::to_string(aBytes) } };
}

} // namespace

TEST_GROUP(HttpClient)
{
  net::Loop m_loop;
  std::unique_ptr<net::HttpClient> m_client = net::HttpClient::Create(m_loop);
  net::HttpHandler m_handler;
  support::RawHttpServer m_server{ m_loop,
                                   [this](net::HttpRequest aRequest,
                                          std::shared_ptr<net::HttpReply> aReply) {
                                     m_handler(std::move(aRequest), std::move(aReply));
                                   } };
  std::optional<net::ClientOutcome> m_outcome;
  std::string m_body;

  void RunUntilOutcome()
  {
    for (int i = 0; i < 4000 && !m_outcome; ++i) {
      m_loop.RunFor(5ms);
    }
    CHECK(m_outcome.has_value());
  }

  void Fetch()
  {
    m_outcome.reset();
    net::ClientRequest request;
    request.m_url = net::HttpBaseUrl(m_server.ListenAddress()) + "/";
    m_client->Fetch(std::move(request),
                    [this](const net::ClientOutcome& aOutcome, std::string aBody) {
                      m_outcome = aOutcome;
                      m_body = std::move(aBody);
                    });
    RunUntilOutcome();
  }

  /// Fetches a reply that the server finishes.
  void FetchFinished(int aStatus, const net::Headers& aHeaders, const std::string& aBody)
  {
    m_handler = [=](const net::HttpRequest&, const std::shared_ptr<net::HttpReply>& aReply) {
      aReply->Send(aStatus, aHeaders, aBody);
    };
    Fetch();
  }

  /// Fetches a reply that the server breaks off after these bytes.
  void FetchAborted(const net::Headers& aHeaders, const std::string& aBody, bool aReset)
  {
    m_server.SetResetOnAbort([aReset] { return aReset; });
    m_handler = [=](const net::HttpRequest&, const std::shared_ptr<net::HttpReply>& aReply) {
      aReply->StartStream(200, aHeaders);
      aReply->Write(aBody);
      aReply->Abort();
    };
    Fetch();
  }
};

TEST(HttpClient, ReplyWithLengthOrChunksIsComplete)
{
  FetchFinished(200, Length(4), "body");
  CHECK(m_outcome->m_end == WireEnd::Complete);
  CHECK(m_outcome->m_framing == ReplyFraming::Length);
  FetchFinished(200, kChunks, "body");
  CHECK(m_outcome->m_end == WireEnd::Complete);
  CHECK(m_outcome->m_framing == ReplyFraming::Chunks);
  STRCMP_EQUAL("body", m_body.c_str());
}

TEST(HttpClient, ReplyWithoutBodyIsComplete)
{
  FetchFinished(200, Length(0), "");
  CHECK(m_outcome->m_end == WireEnd::Complete);
  FetchFinished(204, kNoFraming, "");
  CHECK(m_outcome->m_end == WireEnd::Complete);
}

// Regression: a reply that ended with its connection was reported as complete, so that callers got
// truncated ones.
TEST(HttpClient, ReplyWithoutFramingEndsAsClosed)
{
  for (const std::size_t size : { std::size_t{ 0 }, std::size_t{ 4 }, kLargerThanSocketBuffers }) {
    FetchFinished(200, kNoFraming, std::string(size, 'x'));
    CHECK(m_outcome->m_end == WireEnd::Closed);
    CHECK(m_outcome->m_framing == ReplyFraming::Close);
    LONGS_EQUAL(size, m_body.size());
  }
}

TEST(HttpClient, ResetReplyIsBroken)
{
  for (const net::Headers& headers : { Length(100), kChunks, kNoFraming }) {
    for (const char* body : { "", "part" }) {
      FetchAborted(headers, body, true);
      CHECK(m_outcome->m_end != WireEnd::Complete);
      CHECK(m_outcome->m_end != WireEnd::Closed);
    }
  }
}

TEST(HttpClient, ReplyClosedBeforeItsDeclaredEndIsBroken)
{
  for (const net::Headers& headers : { Length(100), kChunks }) {
    FetchAborted(headers, "part", false);
    CHECK(m_outcome->m_end == WireEnd::BrokenReply);
  }
}

TEST(HttpClient, ConnectionIsReusedOnlyAfterDeclaredEnd)
{
  FetchFinished(200, Length(4), "body");
  FetchFinished(200, kChunks, "body");
  LONGS_EQUAL(1, m_server.Counters().m_accepted);
  FetchFinished(200, kNoFraming, "body");
  FetchFinished(200, Length(4), "body");
  LONGS_EQUAL(2, m_server.Counters().m_accepted);
}

TEST(HttpClient, ConnectOnlyCallIsComplete)
{
  net::ClientRequest request;
  request.m_url = net::HttpBaseUrl(m_server.ListenAddress()) + "/";
  request.m_connectOnly = true;
  m_client->Fetch(std::move(request), [this](const net::ClientOutcome& aOutcome, std::string) {
    m_outcome = aOutcome;
  });
  RunUntilOutcome();
  CHECK(m_outcome->m_end == WireEnd::Complete);
}
