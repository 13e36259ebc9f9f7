#include "ferrytray/peers/reload_table.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

constexpr peers::EndpointTag kEngine = 7;

} // namespace

TEST_GROUP(ReloadTable)
{
  peers::ReloadTable m_table;
  base::TimePoint m_now = base::MonotonicNow();

  bool ReceiveNotice(
    std::int32_t aEndsIn, std::uint64_t aRevision, peers::EndpointTag aEngine = kEngine)
  {
    return m_table.OnNotice({ aEngine, "m", 2, aEndsIn, aRevision }, m_now);
  }
};

TEST(ReloadTable, EngineIsReloadingFromTheNoticeToTheExpectedEnd)
{
  CHECK(ReceiveNotice(1500, 1));
  CHECK(m_table.IsReloading(kEngine, m_now));
  CHECK(m_table.IsReloading(kEngine, m_now + 1499ms));
  CHECK_FALSE(m_table.IsReloading(kEngine, m_now + 1500ms));
  CHECK_FALSE(m_table.IsReloading(kEngine + 1, m_now));
}

TEST(ReloadTable, TakeEndedReportsEachReloadOnce)
{
  ReceiveNotice(1500, 1);
  CHECK(m_table.TakeEnded(m_now).empty());
  const auto ended = m_table.TakeEnded(m_now + 1500ms);
  LONGS_EQUAL(1, ended.size());
  LONGS_EQUAL(kEngine, ended[0].m_endpoint);
  LONGS_EQUAL(2, ended[0].m_version);
  CHECK(m_table.TakeEnded(m_now + 1600ms).empty());
}

// Notices arrive through several hosts and out of order.
TEST(ReloadTable, OlderRevisionsAreIgnored)
{
  CHECK(ReceiveNotice(1500, 2));
  CHECK_FALSE(ReceiveNotice(9000, 1));
  CHECK_FALSE(m_table.IsReloading(kEngine, m_now + 1500ms));
  CHECK(ReceiveNotice(0, 3));
  CHECK_FALSE(m_table.IsReloading(kEngine, m_now));
}

TEST(ReloadTable, ForwardedNoticesKeepTheEndTime)
{
  ReceiveNotice(1500, 1);
  peers::ReloadTable other;
  const base::TimePoint later = m_now + 400ms;
  for (const peers::ReloadNotice& notice : m_table.Notices(later)) {
    other.OnNotice(notice, later);
  }
  CHECK(other.IsReloading(kEngine, m_now + 1499ms));
  CHECK_FALSE(other.IsReloading(kEngine, m_now + 1500ms));
}

TEST(ReloadTable, ImplausibleEndTimesAreRejected)
{
  CHECK_FALSE(ReceiveNotice(INT32_MAX, 1));
  CHECK_FALSE(ReceiveNotice(INT32_MIN, 1));
  CHECK_FALSE(m_table.IsReloading(kEngine, m_now));
}

TEST(ReloadTable, SizeIsBoundedAndEndedReloadsExpire)
{
  peers::ReloadTableOptions options;
  options.m_maxEntries = 10;
  m_table = peers::ReloadTable(options);
  for (peers::EndpointTag engine = 0; engine < 100; ++engine) {
    ReceiveNotice(1000, 1, engine);
  }
  LONGS_EQUAL(10, m_table.Notices(m_now).size());
  m_table.Expire(m_now + 1000ms + options.m_retention);
  CHECK(m_table.Notices(m_now).empty());
}

// Each of hundreds of hosts sends to an engine only every few seconds, while a reload takes one
// second, so that rejections alone detect it too late. Notices must reach all hosts within one poll
// of their reader.
TEST(ReloadTable, NoticesReachHundredsOfHostsEarlyInAReload)
{
  constexpr std::size_t kHosts = 300;
  constexpr std::size_t kReaders = 6;
  constexpr auto kPollInterval = 300ms;
  constexpr std::int32_t kLoadMillis = 1100;
  std::vector<peers::ReloadTable> hosts(kHosts);
  for (peers::EndpointTag engine = 0; engine < 27; ++engine) {
    hosts[0].OnNotice({ engine, "m", 2, kLoadMillis, engine + 1 }, m_now);
  }
  // The host that orders the reload notifies the readers at once; the others poll theirs one after
  // the other.
  for (std::size_t reader = 1; reader < kReaders; ++reader) {
    for (const auto& notice : hosts[0].Notices(m_now)) {
      hosts[reader].OnNotice(notice, m_now);
    }
  }
  base::Duration totalDelay{};
  for (std::size_t host = kReaders; host < kHosts; ++host) {
    const base::TimePoint polledAt = m_now + kPollInterval * host / kHosts;
    for (const auto& notice : hosts[host % kReaders].Notices(polledAt)) {
      hosts[host].OnNotice(notice, polledAt);
    }
    totalDelay += polledAt - m_now;
  }
  // On average, hosts still send to a loading engine for at most a seventh of the reload.
  CHECK(totalDelay / kHosts <= std::chrono::milliseconds(kLoadMillis) / 7);
  for (const peers::ReloadTable& host : hosts) {
    for (peers::EndpointTag engine = 0; engine < 27; ++engine) {
      CHECK(host.IsReloading(engine, m_now + kPollInterval));
      CHECK(host.IsReloading(engine, m_now + std::chrono::milliseconds(kLoadMillis - 2)));
      CHECK_FALSE(host.IsReloading(engine, m_now + std::chrono::milliseconds(kLoadMillis)));
    }
  }
}
