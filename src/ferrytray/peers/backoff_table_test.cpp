#include "ferrytray/peers/backoff_table.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using peers::BackoffTable;

namespace {

constexpr peers::IncarnationKey kEndpoint = 7;
const base::TimePoint kNow = base::TimePoint() + 100s;

} // namespace

TEST_GROUP(BackoffTable)
{
  BackoffTable m_table;

  void Report(peers::HostKey aHost, std::int32_t aEndsInMillis, base::Duration aAt = {})
  {
    m_table.OnNotice({ kEndpoint, aHost, aEndsInMillis }, kNow + aAt);
  }
  bool IsInBackoff(base::Duration aAt) const
  {
    return m_table.IsInBackoff(kEndpoint, kNow + aAt);
  }
};

TEST(BackoffTable, TwoHostsAreNeeded)
{
  Report(1, 3000);
  Report(1, 3000, 1ms);
  CHECK_FALSE(IsInBackoff(1ms));
  Report(2, 2000);
  CHECK(IsInBackoff(1ms));
  CHECK(IsInBackoff(1999ms));
  CHECK_FALSE(IsInBackoff(2s));
}

TEST(BackoffTable, ReportsThatEndLastAreKept)
{
  Report(1, 1000);
  Report(2, 1000);
  Report(3, 3000);
  Report(4, 3000);
  CHECK(IsInBackoff(2999ms));
  LONGS_EQUAL(2, m_table.Notices(kNow).size());
}

TEST(BackoffTable, EndedAndImplausibleReportsAreIgnored)
{
  Report(1, 0);
  Report(2, -5);
  CHECK(m_table.Empty());
  Report(1, INT32_MAX);
  Report(2, INT32_MAX);
  CHECK(IsInBackoff(9999ms));
  CHECK_FALSE(IsInBackoff(10s));
}

// Messages take some time, in which the rest of a backoff does not shrink.
TEST(BackoffTable, HostsDoNotKeepABackoffAliveForEachOther)
{
  std::vector<BackoffTable> hosts(2);
  for (const peers::HostKey host : { 1, 2 }) {
    hosts[0].OnNotice({ kEndpoint, host, 3000 }, kNow);
  }
  for (auto at = kNow; at < kNow + 4s; at += 300ms) {
    for (std::size_t from = 0; from < hosts.size(); ++from) {
      for (const auto& notice : hosts[from].Notices(at)) {
        hosts[1 - from].OnNotice(notice, at + 200ms);
      }
    }
  }
  for (BackoffTable& host : hosts) {
    CHECK_FALSE(host.IsInBackoff(kEndpoint, kNow + 3500ms));
    host.Expire(kNow + 3500ms);
    CHECK(host.Empty());
  }
}

TEST(BackoffTable, SizesAreBounded)
{
  for (peers::IncarnationKey endpoint = 0; endpoint < 10'000; ++endpoint) {
    for (const peers::HostKey host : { 1, 2, 3 }) {
      m_table.OnNotice({ endpoint, host, 1000 + static_cast<std::int32_t>(endpoint % 4096) }, kNow);
    }
  }
  CHECK(m_table.IsInBackoff(4095, kNow));
  CHECK_FALSE(m_table.IsInBackoff(4096, kNow));
  const auto notices = m_table.Notices(kNow);
  LONGS_EQUAL(256, notices.size());
  for (const auto& notice : notices) {
    CHECK(notice.m_endsInMillis >= 1000 + 4096 - 128);
  }
}

// Each host sends a request only every few seconds; without reports each of them is refused by each
// refusing endpoint.
TEST(BackoffTable, FewHostsAreRefusedByAnEndpoint)
{
  for (const std::size_t hosts : { 10, 100, 1000 }) {
    std::vector<BackoffTable> tables(hosts);
    std::size_t refusals = 0;
    constexpr auto kPollInterval = 300ms;
    // Each host sends one request to the endpoint within 3 s, and polls its reader, host 0.
    for (auto at = base::Duration(); at < 3s; at += 10ms) {
      for (std::size_t host = 0; host < hosts; ++host) {
        const bool sends = at / 10ms == static_cast<std::int64_t>(host * 300 / hosts);
        if (sends && !tables[host].IsInBackoff(kEndpoint, kNow + at)) {
          ++refusals;
          tables[host].OnNotice({ kEndpoint, host + 1, 3000 }, kNow + at);
        }
        const bool polls = (at / 10ms) % (kPollInterval / 10ms) ==
                           static_cast<std::int64_t>(host % (kPollInterval / 10ms));
        if (polls && host > 0) {
          for (const auto& notice : tables[host].Notices(kNow + at)) {
            tables[0].OnNotice(notice, kNow + at);
          }
          for (const auto& notice : tables[0].Notices(kNow + at)) {
            tables[host].OnNotice(notice, kNow + at);
          }
        }
      }
    }
    CHECK(refusals <= 2 + hosts / 5); // those that send before the second poll
  }
}
