// Calls to the record log when all hosts of a deployment start together.
#include <algorithm> // for max, sort
#include <string>    // for to_string
#include <vector>    // for vector

#include "ferrytray/peers/roster.hpp"      // for Peer, Roster
#include "ferrytray/peers/start_delay.hpp" // for StartDelay

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

constexpr int kZones = 6;
constexpr base::Duration kAppendTime = 4ms; // appends of a partition are processed one at a time
constexpr base::Duration kRoundTrip = 10ms;

struct StartingHost
{
  peers::Peer m_peer;
  base::Duration m_readsAt{};
};

struct StartCounts
{
  int m_reads = 0;
  int m_appends = 0;
  base::Duration m_longestQueue{}; ///< of appends
};

/// One host in sixteen has a whole core and a fast link, as at the users' largest deployment.
std::vector<StartingHost> MakeHosts(int aCount)
{
  std::vector<StartingHost> hosts;
  for (int i = 0; i < aCount; ++i) {
    const std::string name = "host-" + std::to_string(i);
    const std::uint32_t capacity = i / kZones % 16 == 0 ? 100'000 : 240;
    const base::Duration startedAt = 300ms * (i * 7 % 100) / 100;
    hosts.push_back({ { name, "zone-" + std::to_string(i % kZones), name + ":1", capacity },
                      startedAt + peers::StartDelay(capacity, name) });
  }
  std::sort(hosts.begin(), hosts.end(), [](const StartingHost& aLeft, const StartingHost& aRight) {
    return aLeft.m_readsAt < aRight.m_readsAt;
  });
  return hosts;
}

StartCounts CountCallsOf(const std::vector<StartingHost>& aHosts)
{
  struct Registration
  {
    peers::Peer m_peer;
    base::Duration m_doneAt{};
  };
  StartCounts counts;
  std::vector<Registration> registered;
  base::Duration logFreeAt{};
  for (const StartingHost& host : aHosts) {
    peers::Roster roster(host.m_peer);
    for (const Registration& registration : registered) {
      if (registration.m_doneAt <= host.m_readsAt) {
        roster.AddOrUpdate(registration.m_peer);
      }
    }
    ++counts.m_reads;
    if (!roster.ShouldRegister()) {
      continue;
    }
    ++counts.m_appends;
    ++counts.m_reads; // it reads the hosts again after its registration
    const base::Duration sentAt = host.m_readsAt + kRoundTrip;
    counts.m_longestQueue = std::max(counts.m_longestQueue, logFreeAt - sentAt);
    logFreeAt = std::max(logFreeAt, sentAt) + kAppendTime;
    registered.push_back({ host.m_peer, logFreeAt });
  }
  return counts;
}

} // namespace

TEST_GROUP(Registration){};

TEST(Registration, AppendsDoNotGrowWithTheNumberOfHosts)
{
  constexpr int kReadersAndRelays = kZones * 17;
  for (const int hosts : { 10, 100, 1000, 2000 }) {
    const StartCounts counts = CountCallsOf(MakeHosts(hosts));
    CHECK(counts.m_appends <= std::min(hosts, 2 * kReadersAndRelays));
    CHECK(counts.m_reads <= hosts + counts.m_appends);
    // The log rejects appends that would wait for more than 2 s.
    CHECK(counts.m_longestQueue < 1s);
  }
}
