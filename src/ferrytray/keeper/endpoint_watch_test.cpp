// Guards against keeping the ETag of a host list whose reply was truncated or could not be parsed.
// The platform then replied "not modified" for a list that the keeper had never accepted, until
// the next change of any host: leaving endpoints still got work and new ones got none.
#include "ferrytray/keeper/endpoint_watch.hpp"

#include "tests/support/fake_http.hpp" // for FakeHttpClient

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const std::string kHostList =
  R"({"hosts":[{"name":"h1","zone":"z1","role":"entry","address":"10.0.0.1:1"}]})";

} // namespace

TEST_GROUP(EndpointWatch)
{
  net::Loop m_loop;
  support::FakeHttpClient m_http;
  keeper::KeeperOptions m_options;
  std::unique_ptr<keeper::EndpointWatch> m_watch;
  std::size_t m_acceptedLists = 0;

  void setup() override
  {
    m_options.m_platform = "http://10.0.0.9:1";
    m_options.m_hostListPollInterval = 1ms;
    m_options.m_loadPollInterval = 1h;
    m_watch = std::make_unique<keeper::EndpointWatch>(m_loop, m_http, m_options);
    m_watch->Start([this](const auto&) { ++m_acceptedLists; });
  }
  void AnswerHostList(const std::string& aBody, net::WireEnd aEnd)
  {
    m_http.Head(200, {});
    m_http.Data(aBody);
    m_http.End(aEnd, "\"7\"");
  }
  /// Whether the next request carries a tag, so that the platform may reply "not modified".
  bool NextRequestIsConditional()
  {
    const std::size_t requestCount = m_http.m_calls.size();
    for (int i = 0; i < 1000 && m_http.m_calls.size() == requestCount; ++i) {
      m_loop.RunFor(1ms);
    }
    return !m_http.m_calls.back().m_request.m_headers.empty();
  }
};

TEST(EndpointWatch, RequestsAcceptedListConditionally)
{
  AnswerHostList(kHostList, net::WireEnd::Complete);
  LONGS_EQUAL(1, m_acceptedLists);
  CHECK(NextRequestIsConditional());
}

TEST(EndpointWatch, RequestsFullListAfterTruncatedReply)
{
  AnswerHostList(kHostList.substr(0, kHostList.size() / 2), net::WireEnd::BrokenReply);
  LONGS_EQUAL(0, m_acceptedLists);
  CHECK_FALSE(NextRequestIsConditional());
}

TEST(EndpointWatch, RequestsFullListAfterUnparsableReply)
{
  AnswerHostList("{}", net::WireEnd::Complete);
  LONGS_EQUAL(0, m_acceptedLists);
  CHECK_FALSE(NextRequestIsConditional());
}
