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

Member HostNumber(int aNumber, std::uint64_t aIncarnation = 1)
{
  Member member;
  member.m_host = "h" + std::to_string(aNumber);
  member.m_zone = "z" + std::to_string(aNumber % 3);
  member.m_gossip = "10.0.0." + std::to_string(aNumber) + ":7000";
  member.m_incarnation = aIncarnation;
  return member;
}

/// A hand-written fake network: delivers every datagram at once unless its end is cut.
class FakeNetwork
{
public:
  explicit FakeNetwork(int aHosts)
  {
    for (int i = 1; i <= aHosts; ++i) {
      m_list.push_back(HostNumber(i));
    }
    for (int i = 1; i <= aHosts; ++i) {
      m_tables.push_back(
        std::make_unique<MemberTable>(HostNumber(i), membership::MembershipOptions{}, i));
      m_tables.back()->OnHostList(m_list, kStart);
    }
  }

  void Rounds(int aCount)
  {
    for (int round = 0; round < aCount; ++round) {
      m_now += 500ms;
      for (std::size_t i = 0; i < m_tables.size(); ++i) {
        Deliver(i);
      }
    }
  }

  void Deliver(std::size_t aFrom)
  {
    if (m_tables[aFrom] == nullptr) {
      return;
    }
    for (const auto& send : m_tables[aFrom]->OnRound(m_now)) {
      m_rowsSent += send.m_message.m_members.size() + send.m_message.m_pulses.size();
      for (std::size_t to = 0; to < m_tables.size(); ++to) {
        const bool cut = m_cutZone == m_list[to].m_zone || m_cutZone == m_list[aFrom].m_zone;
        const bool crosses = m_list[to].m_zone != m_list[aFrom].m_zone;
        if (m_tables[to] != nullptr && m_list[to].m_gossip == send.m_to && !(cut && crosses)) {
          m_tables[to]->OnMessage(send.m_message, "10.0.0." + std::to_string(aFrom + 1), m_now);
        }
      }
    }
  }

  std::vector<Member> m_list;
  std::vector<std::unique_ptr<MemberTable>> m_tables;
  std::string m_cutZone;
  std::size_t m_rowsSent = 0;
  base::TimePoint m_now = kStart;
};

int CountIn(const MemberTable& aTable, MemberState aState)
{
  int count = 0;
  for (const Member& member : aTable.Live()) {
    count += member.m_state == aState ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_GROUP(MemberTable){};

TEST(MemberTable, EveryHostLearnsOfEveryOther)
{
  FakeNetwork network(12);
  network.Rounds(30);
  for (const auto& table : network.m_tables) {
    LONGS_EQUAL(12, CountIn(*table, MemberState::Alive));
  }
}

TEST(MemberTable, ADeadHostIsNoticedEverywhereAndAReplacementIsTakenIn)
{
  FakeNetwork network(9);
  network.Rounds(30);
  network.m_tables[4] = nullptr;
  network.Rounds(60);
  CHECK(network.m_tables[0]->Find("h5")->m_state == MemberState::Dead);
  network.m_tables[4] =
    std::make_unique<MemberTable>(HostNumber(5, 2), membership::MembershipOptions{}, 99);
  network.m_tables[4]->OnHostList(network.m_list, network.m_now);
  network.Rounds(30);
  CHECK(network.m_tables[0]->Find("h5")->m_state == MemberState::Alive);
  LONGS_EQUAL(2, network.m_tables[0]->Find("h5")->m_incarnation);
}

TEST(MemberTable, ACutZoneIsLostAndFoundAgain)
{
  FakeNetwork network(9);
  network.Rounds(30);
  network.m_cutZone = "z1";
  network.Rounds(60);
  CHECK(network.m_tables[1]->Find("h1")->m_state == MemberState::Dead);
  CHECK(network.m_tables[0]->Find("h2")->m_state == MemberState::Dead);
  network.m_cutZone.clear();
  network.Rounds(60);
  for (const auto& table : network.m_tables) {
    LONGS_EQUAL(9, CountIn(*table, MemberState::Alive));
  }
}

TEST(MemberTable, LeavingIsForGoodForThatIncarnation)
{
  FakeNetwork network(4);
  network.Rounds(20);
  network.m_tables[2]->Leave();
  network.Rounds(20);
  CHECK(network.m_tables[0]->Find("h3")->m_state == MemberState::Leaving);
  auto alive = HostNumber(3);
  alive.m_heartbeat = 100000;
  network.m_tables[0]->OnMessage({ "h3", { alive }, {}, {}, {}, {} }, "10.0.0.3", network.m_now);
  CHECK(network.m_tables[0]->Find("h3")->m_state == MemberState::Leaving);
}

TEST(MemberTable, ADatagramFromOutsideTheHostListIsDroppedAndCounted)
{
  FakeNetwork network(3);
  auto stranger = HostNumber(77);
  CHECK_FALSE(
    network.m_tables[0]->OnMessage({ "h77", { stranger }, {}, {}, {}, {} }, "10.0.0.77", kStart));
  LONGS_EQUAL(1, network.m_tables[0]->DroppedMessages());
  CHECK(network.m_tables[0]->Find("h77") == nullptr);
}

TEST(MemberTable, RowsARoundDoNotGrowWithTheHosts)
{
  const membership::MembershipOptions options;
  FakeNetwork network(60);
  network.Rounds(10);
  const std::size_t perHostRound = network.m_rowsSent / (10 * 60);
  CHECK(perHostRound <=
        (options.m_zonePeers + 1) * (1 + options.m_rowsPerMessage + options.m_pulsesPerMessage));
}

TEST(MemberTable, TicketsAreFoundWhereTheyWentTo)
{
  FakeNetwork network(3);
  network.m_tables[1]->SetTickets({ "h2-1", "h1-1" });
  network.Rounds(20);
  STRCMP_EQUAL("h2", network.m_tables[0]->TicketHome("h1-1")->m_host.c_str());
  CHECK(network.m_tables[0]->TicketHome("nobody") == nullptr);
}
