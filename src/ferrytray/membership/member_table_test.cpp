#include "ferrytray/membership/member_table.hpp"

#include <deque>  // for deque
#include <memory> // for unique_ptr

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using membership::Member;
using membership::MemberState;
using membership::MemberTable;

namespace {

const base::TimePoint kStart{ 1000s };

Member MakeHost(int aNumber, std::uint64_t aIncarnation = 1)
{
  Member member;
  member.m_host = "h" + std::to_string(aNumber);
  member.m_zone = "z" + std::to_string(aNumber % 3);
  member.m_gossip = "10.0.0." + std::to_string(aNumber) + ":7000";
  member.m_incarnation = aIncarnation;
  return member;
}

/// Fake network that delivers datagrams immediately, except into or out of a partitioned zone.
class FakeNetwork
{
public:
  explicit FakeNetwork(int aHosts)
  {
    for (int i = 1; i <= aHosts; ++i) {
      m_hostList.push_back(MakeHost(i));
    }
    for (int i = 1; i <= aHosts; ++i) {
      m_tables.push_back(
        std::make_unique<MemberTable>(MakeHost(i), membership::MembershipOptions{}, i));
      m_tables.back()->OnHostList(m_hostList, kStart);
    }
  }

  void RunRounds(int aCount)
  {
    for (int round = 0; round < aCount; ++round) {
      m_now += 500ms;
      for (std::size_t i = 0; i < m_tables.size(); ++i) {
        RunRound(i);
      }
    }
  }

  void RunRound(std::size_t aFrom)
  {
    if (m_tables[aFrom] == nullptr) {
      return;
    }
    for (const auto& send : m_tables[aFrom]->OnRound(m_now)) {
      m_entriesSent += send.m_message.m_members.size() + send.m_message.m_heartbeats.size();
      for (std::size_t to = 0; to < m_tables.size(); ++to) {
        const bool partitioned = m_partitionedZone == m_hostList[to].m_zone ||
                                 m_partitionedZone == m_hostList[aFrom].m_zone;
        const bool crosses = m_hostList[to].m_zone != m_hostList[aFrom].m_zone;
        if (m_tables[to] != nullptr && m_hostList[to].m_gossip == send.m_to &&
            !(partitioned && crosses)) {
          m_tables[to]->OnMessage(send.m_message, "10.0.0." + std::to_string(aFrom + 1), m_now);
        }
      }
    }
  }

  std::vector<Member> m_hostList;
  std::vector<std::unique_ptr<MemberTable>> m_tables;
  std::string m_partitionedZone;
  std::size_t m_entriesSent = 0;
  base::TimePoint m_now = kStart;
};

int CountInState(const MemberTable& aTable, MemberState aState)
{
  int count = 0;
  for (const Member& member : aTable.Live()) {
    count += member.m_state == aState ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_GROUP(MemberTable){};

TEST(MemberTable, AllHostsDiscoverEachOther)
{
  FakeNetwork network(12);
  network.RunRounds(30);
  for (const auto& table : network.m_tables) {
    LONGS_EQUAL(12, CountInState(*table, MemberState::Alive));
  }
}

TEST(MemberTable, DetectsADeadHostAndAcceptsItsReplacement)
{
  FakeNetwork network(9);
  network.RunRounds(30);
  network.m_tables[4] = nullptr;
  network.RunRounds(60);
  CHECK(network.m_tables[0]->Find("h5")->m_state == MemberState::Dead);
  network.m_tables[4] =
    std::make_unique<MemberTable>(MakeHost(5, 2), membership::MembershipOptions{}, 99);
  network.m_tables[4]->OnHostList(network.m_hostList, network.m_now);
  network.RunRounds(30);
  CHECK(network.m_tables[0]->Find("h5")->m_state == MemberState::Alive);
  LONGS_EQUAL(2, network.m_tables[0]->Find("h5")->m_incarnation);
}

TEST(MemberTable, PartitionedZoneIsMarkedDeadAndRejoins)
{
  FakeNetwork network(9);
  network.RunRounds(30);
  network.m_partitionedZone = "z1";
  network.RunRounds(60);
  CHECK(network.m_tables[1]->Find("h1")->m_state == MemberState::Dead);
  CHECK(network.m_tables[0]->Find("h2")->m_state == MemberState::Dead);
  network.m_partitionedZone.clear();
  network.RunRounds(60);
  for (const auto& table : network.m_tables) {
    LONGS_EQUAL(9, CountInState(*table, MemberState::Alive));
  }
}

TEST(MemberTable, LeavingIsPermanentForAnIncarnation)
{
  FakeNetwork network(4);
  network.RunRounds(20);
  network.m_tables[2]->Leave();
  network.RunRounds(20);
  CHECK(network.m_tables[0]->Find("h3")->m_state == MemberState::Leaving);
  auto alive = MakeHost(3);
  alive.m_heartbeat = 100000;
  network.m_tables[0]->OnMessage({ "h3", { alive }, {}, {}, {}, {} }, "10.0.0.3", network.m_now);
  CHECK(network.m_tables[0]->Find("h3")->m_state == MemberState::Leaving);
}

TEST(MemberTable, DropsAndCountsDatagramsFromUnlistedAddresses)
{
  FakeNetwork network(3);
  auto unlisted = MakeHost(77);
  CHECK_FALSE(
    network.m_tables[0]->OnMessage({ "h77", { unlisted }, {}, {}, {}, {} }, "10.0.0.77", kStart));
  LONGS_EQUAL(1, network.m_tables[0]->DroppedMessages());
  CHECK(network.m_tables[0]->Find("h77") == nullptr);
}

TEST(MemberTable, EntriesPerRoundDoNotGrowWithTheNumberOfHosts)
{
  const membership::MembershipOptions options;
  FakeNetwork network(60);
  network.RunRounds(10);
  const std::size_t entriesPerHostAndRound = network.m_entriesSent / (10 * 60);
  CHECK(entriesPerHostAndRound <=
        (options.m_zonePeersPerRound + 1) *
          (1 + options.m_membersPerMessage + options.m_heartbeatsPerMessage));
}

TEST(MemberTable, FindsTheHolderOfHandedOverTickets)
{
  FakeNetwork network(3);
  network.m_tables[1]->SetTickets({ "h2-1", "h1-1" });
  network.RunRounds(20);
  STRCMP_EQUAL("h2", network.m_tables[0]->FindTicketHolder("h1-1")->m_host.c_str());
  CHECK(network.m_tables[0]->FindTicketHolder("nobody") == nullptr);
}
