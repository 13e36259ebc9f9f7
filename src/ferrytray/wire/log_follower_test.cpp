// Guards against a log that never replies to a long poll although it replies to other reads (see
// the relay's feeds). The keeper's long poll of the configuration took 10 s plus a timeout of 3 s,
// while a change must be in force within 3 s. Gates read the claims in the same way: requests with
// an idempotency key were refused for that long, since the gate waited to read back its own claim.
#include "ferrytray/wire/log_follower.hpp"

#include <optional> // for optional

#include "tests/support/fake_http.hpp" // for FakeHttpClient

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

/// A change must be in force on every host within this time.
constexpr base::Duration kMaxDelay = 3s;

} // namespace

TEST_GROUP(LogFollower)
{
  net::Loop m_loop;
  support::FakeHttpClient m_http;
  wire::LogFollower m_follower{
    m_loop, m_http, "http://10.0.0.1:1", "config", wire::MakeFollowerOptions(kMaxDelay)
  };
  std::string m_callbacks;

  void setup() override
  {
    m_follower.Start(
      1,
      [this](const wire::LogPage& aPage) {
        m_callbacks += "page" + std::to_string(aPage.m_records.size()) + " ";
      },
      [this](bool aReachable) { m_callbacks += aReachable ? "back " : "away "; });
    Reply(1);
  }
  /// Replies to the newest read with an empty page that ends at aNext.
  void Reply(std::uint64_t aNext)
  {
    m_http.Head(200, {});
    m_http.Data("{\"first\":1,\"next\":" + std::to_string(aNext) + ",\"now_ms\":0,\"records\":[]}");
    m_http.End(net::WireEnd::Complete);
  }
  [[nodiscard]] bool LastReadIsLongPoll() const
  {
    return !m_http.m_calls.back().m_request.m_url.ends_with("wait_ms=0");
  }
};

TEST(LogFollower, TimesOutUnansweredReadWithinMaxDelay)
{
  // For the next read and for passing the configuration to the gate.
  constexpr base::Duration kReserve = 500ms;
  CHECK(LastReadIsLongPoll());
  CHECK(m_http.m_calls.back().m_request.m_timeout + kReserve <= kMaxDelay);
}

TEST(LogFollower, ReadsAgainAtOnceAfterFailedLongPollAndStaysReachable)
{
  m_http.End(net::WireEnd::NoReply);
  LONGS_EQUAL(3, m_http.m_calls.size());
  CHECK_FALSE(LastReadIsLongPoll());
  Reply(1);
  CHECK(LastReadIsLongPoll());
  STRCMP_EQUAL("back page0 ", m_callbacks.c_str());
}

TEST(LogFollower, ReadsExpectedRecordAndDropsLongPollReply)
{
  m_follower.ExpectRecord(1);
  const std::size_t requestCount = m_http.m_calls.size();
  for (int i = 0; i < 1000 && m_http.m_calls.size() == requestCount; ++i) {
    m_loop.RunFor(1ms);
  }
  CHECK_FALSE(LastReadIsLongPoll());
  const auto heldRead = m_http.m_calls[requestCount - 1].m_events;
  Reply(2);
  const std::size_t requestsAfterReply = m_http.m_calls.size();
  heldRead.m_onEnd({}); // late failure of the replaced long poll
  LONGS_EQUAL(requestsAfterReply, m_http.m_calls.size());
}

TEST(LogFollower, DoesNotReadAgainForReceivedRecord)
{
  m_follower.ExpectRecord(0);
  m_loop.RunFor(200ms);
  CHECK(LastReadIsLongPoll());
}

TEST(LogFollower, ReportsUnreachableOnlyAfterImmediateReadFails)
{
  m_http.End(net::WireEnd::NoReply);
  m_http.End(net::WireEnd::NoReply);
  STRCMP_EQUAL("back page0 away ", m_callbacks.c_str());
}
