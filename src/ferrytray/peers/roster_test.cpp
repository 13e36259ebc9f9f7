#include "ferrytray/peers/roster.hpp"

#include <set> // for set

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using peers::Peer;
using peers::Roster;

namespace {

const base::TimePoint kNow = base::TimePoint(base::Duration(1'000'000));

Peer PeerOf(int aNumber, int aZones)
{
  const std::string name = "host-" + std::to_string(aNumber);
  return { name, "zone-" + std::to_string(aNumber % aZones), name + ":1" };
}

std::vector<Roster> RostersOf(int aHosts, int aZones)
{
  std::vector<Roster> rosters;
  for (int self = 0; self < aHosts; ++self) {
    rosters.emplace_back(PeerOf(self, aZones));
    for (int other = 0; other < aHosts; ++other) {
      rosters.back().Learn(PeerOf(other, aZones));
    }
  }
  return rosters;
}

} // namespace

TEST_GROUP(Roster){};

TEST(Roster, AFewHostsAllReadThemselves)
{
  for (const Roster& roster : RostersOf(8, 3)) {
    CHECK_FALSE(roster.Source(kNow).has_value());
  }
}

TEST(Roster, OfManyHostsAFewReadAndTheOthersAskThoseOfTheirZone)
{
  for (const int zones : { 1, 3, 4 }) {
    std::size_t readers = 0;
    std::set<std::string> asked;
    const std::vector<Roster> rosters = RostersOf(90, zones);
    for (const Roster& roster : rosters) {
      const auto source = roster.Source(kNow);
      if (!source) {
        ++readers;
        continue;
      }
      STRCMP_EQUAL(roster.Self().m_zone.c_str(), source->m_zone.c_str());
      asked.insert(source->m_name);
    }
    CHECK(readers <= 8);
    CHECK(readers >= static_cast<std::size_t>(zones));
    CHECK(asked.size() <= readers);
  }
}

TEST(Roster, WithMoreZonesThanReadersAllShareTheSame)
{
  std::size_t readers = 0;
  for (const Roster& roster : RostersOf(60, 20)) {
    readers += roster.Source(kNow) ? 0 : 1;
  }
  LONGS_EQUAL(8, readers);
}

TEST(Roster, AHostThatDoesNotAnswerIsPassedOverAndTriedAgain)
{
  Roster roster = RostersOf(40, 2).at(5);
  const auto first = roster.Source(kNow);
  CHECK(first.has_value());
  roster.OnMissed(first->m_name, kNow);
  const auto second = roster.Source(kNow);
  CHECK(second.has_value() && second->m_name != first->m_name);
  const auto again = roster.Source(kNow + 1s);
  CHECK(again.has_value() && again->m_name == first->m_name);
  roster.OnMissed(first->m_name, kNow + 1s);
  STRCMP_EQUAL(second->m_name.c_str(), roster.Source(kNow + 2500ms)->m_name.c_str());
  roster.OnAnswered(first->m_name);
  STRCMP_EQUAL(first->m_name.c_str(), roster.Source(kNow + 2500ms)->m_name.c_str());
}

TEST(Roster, AHostThatReachesNobodyReadsItself)
{
  Roster roster = RostersOf(12, 2).at(5);
  for (int i = 0; i < 12 && roster.Source(kNow); ++i) {
    roster.OnMissed(roster.Source(kNow)->m_name, kNow);
  }
  CHECK_FALSE(roster.Source(kNow).has_value());
}

TEST(Roster, AHostThatComesBackAtAnotherAddressIsNewAndThisOneIsNobodysPeer)
{
  Roster roster(PeerOf(0, 1));
  roster.Learn(PeerOf(0, 1));
  LONGS_EQUAL(1, roster.Hosts());
  roster.Learn(PeerOf(1, 1));
  roster.Learn({ "host-1", "zone-0", "moved:2" });
  LONGS_EQUAL(2, roster.Hosts());
}

TEST(Roster, AllHostsAgreeOnTheFirstOfAZoneAndOfAll)
{
  const std::vector<Roster> rosters = RostersOf(40, 4);
  for (const char* zone : { "zone-0", "zone-3", "" }) {
    const Peer first = rosters.front().First(zone, kNow);
    for (const Roster& roster : rosters) {
      CHECK(roster.First(zone, kNow) == first);
    }
    CHECK(*zone == '\0' || first.m_zone == zone);
  }
}

TEST(Roster, AZoneWithoutHostsHasThisOneForFirst)
{
  const std::vector<Roster> rosters = RostersOf(3, 1);
  CHECK(rosters[1].First("elsewhere", kNow) == rosters[1].Self());
}
