#include "ferrytray/peers/replacement_table.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using peers::ReplacementTable;

namespace {

const base::TimePoint kNow = base::TimePoint(base::Duration(1'000'000));

} // namespace

TEST_GROUP(ReplacementTable)
{
  ReplacementTable m_table;
};

TEST(ReplacementTable, EachReplacementIsAcceptedOnce)
{
  CHECK(m_table.OnNotice({ 7, 0 }, kNow));
  CHECK_FALSE(m_table.OnNotice({ 7, 300 }, kNow + 1s));
  LONGS_EQUAL(1000, m_table.Notices(kNow + 1s).at(0).m_ageMillis);
}

TEST(ReplacementTable, ExpiredAndFutureNoticesAreRejected)
{
  CHECK_FALSE(m_table.OnNotice({ 7, 5000 }, kNow));
  CHECK_FALSE(m_table.OnNotice({ 7, -1 }, kNow));
  CHECK(m_table.Notices(kNow).empty());
}

TEST(ReplacementTable, ForwardedNoticesExpireOnAllHosts)
{
  std::vector<ReplacementTable> hosts(5);
  hosts[0].OnNotice({ 7, 0 }, kNow);
  for (auto at = kNow; at < kNow + 6s; at += 300ms) {
    for (std::size_t from = 0; from < hosts.size(); ++from) {
      hosts[from].Expire(at);
      for (const auto& notice : hosts[from].Notices(at)) {
        hosts[(from + 1) % hosts.size()].OnNotice(notice, at + 2ms);
      }
    }
  }
  for (ReplacementTable& host : hosts) {
    host.Expire(kNow + 6s);
    CHECK(host.Notices(kNow + 6s).empty());
  }
}

TEST(ReplacementTable, SizeIsBounded)
{
  for (std::uint64_t key = 0; key < 10'000; ++key) {
    m_table.OnNotice({ key, 0 }, kNow);
  }
  LONGS_EQUAL(4096, m_table.Notices(kNow).size());
}
