#include "ferrytray/peers/reload_board.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

constexpr peers::EndpointTag kEngine = 7;

} // namespace

TEST_GROUP(ReloadBoard)
{
  peers::ReloadBoard m_board;
  base::TimePoint m_now = base::MonotonicNow();

  bool Hear(std::int32_t aEndsIn, std::uint64_t aRevision, peers::EndpointTag aEngine = kEngine)
  {
    return m_board.OnNotice({ aEngine, "m", 2, aEndsIn, aRevision }, m_now);
  }
};

TEST(ReloadBoard, AnEngineIsClosedFromTheNoticeToTheExpectedEnd)
{
  CHECK(Hear(1500, 1));
  CHECK(m_board.IsReloading(kEngine, m_now));
  CHECK(m_board.IsReloading(kEngine, m_now + 1499ms));
  CHECK_FALSE(m_board.IsReloading(kEngine, m_now + 1500ms));
  CHECK_FALSE(m_board.IsReloading(kEngine + 1, m_now));
}

TEST(ReloadBoard, WhatItRunsAfterwardsIsToldOnce)
{
  Hear(1500, 1);
  CHECK(m_board.TakeEnded(m_now).empty());
  const auto ended = m_board.TakeEnded(m_now + 1500ms);
  LONGS_EQUAL(1, ended.size());
  LONGS_EQUAL(kEngine, ended[0].m_endpoint);
  LONGS_EQUAL(2, ended[0].m_version);
  CHECK(m_board.TakeEnded(m_now + 1600ms).empty());
}

// Load: notices come by several hosts and overtake each other.
TEST(ReloadBoard, ANoticeThatIsOlderThanWhatIsKnownChangesNothing)
{
  CHECK(Hear(1500, 2));
  CHECK_FALSE(Hear(9000, 1));
  CHECK_FALSE(m_board.IsReloading(kEngine, m_now + 1500ms));
  CHECK(Hear(0, 3));
  CHECK_FALSE(m_board.IsReloading(kEngine, m_now));
}

TEST(ReloadBoard, PassedOnTheEndStaysAtTheSameTime)
{
  Hear(1500, 1);
  peers::ReloadBoard other;
  const base::TimePoint later = m_now + 400ms;
  for (const peers::ReloadNotice& notice : m_board.Notices(later)) {
    other.OnNotice(notice, later);
  }
  CHECK(other.IsReloading(kEngine, m_now + 1499ms));
  CHECK_FALSE(other.IsReloading(kEngine, m_now + 1500ms));
}

TEST(ReloadBoard, WhatIsNoReloadIsDropped)
{
  CHECK_FALSE(Hear(INT32_MAX, 1));
  CHECK_FALSE(Hear(INT32_MIN, 1));
  CHECK_FALSE(m_board.IsReloading(kEngine, m_now));
}

TEST(ReloadBoard, ItsSizeIsBoundedAndOldReloadsAreForgotten)
{
  peers::ReloadBoardOptions options;
  options.m_most = 10;
  m_board = peers::ReloadBoard(options);
  for (peers::EndpointTag engine = 0; engine < 100; ++engine) {
    Hear(1000, 1, engine);
  }
  LONGS_EQUAL(10, m_board.Notices(m_now).size());
  m_board.Expire(m_now + 1000ms + options.m_keepFor);
  CHECK(m_board.Notices(m_now).empty());
}

// Load: hundreds of hosts send to one engine once in seconds each, and it loads for a second: by
// its own rejections a host learns nothing. All hear of it within one question to their reader.
TEST(ReloadBoard, HundredsOfHostsHearOfALoadWellBeforeItIsOver)
{
  constexpr std::size_t kHosts = 300;
  constexpr std::size_t kReaders = 6;
  constexpr auto kAskEvery = 300ms;
  constexpr std::int32_t kLoadMillis = 1100;
  std::vector<peers::ReloadBoard> hosts(kHosts);
  for (peers::EndpointTag engine = 0; engine < 27; ++engine) {
    hosts[0].OnNotice({ engine, "m", 2, kLoadMillis, engine + 1 }, m_now);
  }
  // The host that orders tells readers at once; the others ask theirs in turn.
  for (std::size_t reader = 1; reader < kReaders; ++reader) {
    for (const auto& notice : hosts[0].Notices(m_now)) {
      hosts[reader].OnNotice(notice, m_now);
    }
  }
  base::Duration open{};
  for (std::size_t host = kReaders; host < kHosts; ++host) {
    const base::TimePoint asks = m_now + kAskEvery * host / kHosts;
    for (const auto& notice : hosts[host % kReaders].Notices(asks)) {
      hosts[host].OnNotice(notice, asks);
    }
    open += asks - m_now;
  }
  // Of the load's time, hosts still send for a seventh on the mean.
  CHECK(open / kHosts <= std::chrono::milliseconds(kLoadMillis) / 7);
  for (const peers::ReloadBoard& host : hosts) {
    for (peers::EndpointTag engine = 0; engine < 27; ++engine) {
      CHECK(host.IsReloading(engine, m_now + kAskEvery));
      CHECK(host.IsReloading(engine, m_now + std::chrono::milliseconds(kLoadMillis - 2)));
      CHECK_FALSE(host.IsReloading(engine, m_now + std::chrono::milliseconds(kLoadMillis)));
    }
  }
}
