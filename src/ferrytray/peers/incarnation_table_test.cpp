#include "ferrytray/peers/incarnation_table.hpp"

#include <algorithm> // for max
#include <utility>   // for pair
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using peers::IncarnationTable;

namespace {

const base::TimePoint kNow = base::TimePoint(base::Duration(1'000'000));

} // namespace

TEST_GROUP(IncarnationTable)
{
  IncarnationTable m_table;
};

TEST(IncarnationTable, EachNoticeIsAcceptedOnce)
{
  CHECK(m_table.OnNotice({ 7, 0 }, kNow));
  CHECK_FALSE(m_table.OnNotice({ 7, 300 }, kNow + 1s));
  LONGS_EQUAL(1000, m_table.Notices(kNow + 1s).at(0).m_ageMillis);
}

TEST(IncarnationTable, ExpiredAndFutureNoticesAreRejected)
{
  CHECK_FALSE(m_table.OnNotice({ 7, 5000 }, kNow));
  CHECK_FALSE(m_table.OnNotice({ 7, -1 }, kNow));
  CHECK(m_table.Notices(kNow).empty());
}

TEST(IncarnationTable, ForwardedNoticesExpireOnAllHosts)
{
  std::vector<IncarnationTable> hosts(5);
  hosts[0].OnNotice({ 7, 0 }, kNow);
  for (auto at = kNow; at < kNow + 6s; at += 300ms) {
    for (std::size_t from = 0; from < hosts.size(); ++from) {
      hosts[from].Expire(at);
      for (const auto& notice : hosts[from].Notices(at)) {
        hosts[(from + 1) % hosts.size()].OnNotice(notice, at + 2ms);
      }
    }
  }
  for (IncarnationTable& host : hosts) {
    host.Expire(kNow + 6s);
    CHECK(host.Notices(kNow + 6s).empty());
  }
}

TEST(IncarnationTable, KeptIncarnationsAreNotForwardedForever)
{
  IncarnationTable table({ 5s, 60s });
  table.OnNotice({ 7, 0 }, kNow);
  LONGS_EQUAL(1, table.Notices(kNow + 4999ms).size());
  CHECK(table.Notices(kNow + 5s).empty());
  table.Expire(kNow + 59s);
  CHECK(table.Contains(7));
  table.Expire(kNow + 60s);
  CHECK_FALSE(table.Contains(7));
}

TEST(IncarnationTable, SizeIsBounded)
{
  for (std::uint64_t key = 0; key < 10'000; ++key) {
    m_table.OnNotice({ key, 0 }, kNow);
  }
  CHECK(m_table.Contains(4095));
  CHECK_FALSE(m_table.Contains(4096));
}

TEST(IncarnationTable, LatestNoticesAreForwarded)
{
  for (std::uint64_t key = 0; key < 1000; ++key) {
    m_table.OnNotice({ key, static_cast<std::int32_t>(key) }, kNow);
  }
  const auto notices = m_table.Notices(kNow);
  LONGS_EQUAL(256, notices.size());
  for (const auto& notice : notices) {
    CHECK(notice.m_ageMillis < 256);
  }
}

// Each host follows one of the readers, and the readers poll each other.
TEST(IncarnationTable, NoticesReachAllHostsWithinThreePolls)
{
  constexpr auto kPollInterval = 300ms;
  for (const std::size_t count : { 10, 100, 1000 }) {
    const std::size_t readers = std::max<std::size_t>(2, count / 100);
    std::vector<IncarnationTable> hosts(count);
    hosts.back().OnNotice({ 7, 0 }, kNow);
    std::size_t notices = 0;
    std::size_t messages = 0;
    const auto exchange = [&](std::size_t aFrom, std::size_t aTo, base::TimePoint aAt) {
      for (const auto& [sender, receiver] : { std::pair(aFrom, aTo), std::pair(aTo, aFrom) }) {
        ++messages;
        for (const auto& notice : hosts[sender].Notices(aAt)) {
          hosts[receiver].OnNotice(notice, aAt);
          ++notices;
        }
      }
    };
    for (int poll = 0; poll < 3; ++poll) {
      for (std::size_t host = 0; host < count; ++host) {
        const base::TimePoint at = kNow + kPollInterval * poll + kPollInterval * host / count;
        for (std::size_t reader = 0; host < readers && reader < readers; ++reader) {
          if (reader != host) {
            exchange(host, reader, at);
          }
        }
        if (host >= readers) {
          exchange(host, host % readers, at);
        }
      }
    }
    for (const IncarnationTable& host : hosts) {
      CHECK(host.Contains(7));
    }
    CHECK(notices <= messages); // one notice in each message, at any number of hosts
  }
}
