#include "ferrytray/peers/roster.hpp"

#include <set> // for set

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using peers::Peer;
using peers::Roster;

namespace {

const base::TimePoint kNow = base::TimePoint(base::Duration(1'000'000));

Peer MakePeer(int aNumber, int aZones)
{
  const std::string name = "host-" + std::to_string(aNumber);
  return { name, "zone-" + std::to_string(aNumber % aZones), name + ":1" };
}

std::vector<Roster> MakeRosters(int aHosts, int aZones)
{
  std::vector<Roster> rosters;
  for (int self = 0; self < aHosts; ++self) {
    rosters.emplace_back(MakePeer(self, aZones));
    for (int other = 0; other < aHosts; ++other) {
      rosters.back().AddOrUpdate(MakePeer(other, aZones));
    }
  }
  return rosters;
}

} // namespace

TEST_GROUP(Roster){};

TEST(Roster, AllHostsAreReadersWhenThereAreFew)
{
  for (const Roster& roster : MakeRosters(8, 3)) {
    CHECK_FALSE(roster.Source(kNow).has_value());
  }
}

TEST(Roster, FewReadersServeTheHostsOfTheirZone)
{
  for (const int zones : { 1, 3, 4 }) {
    std::size_t readers = 0;
    std::set<std::string> sources;
    const std::vector<Roster> rosters = MakeRosters(90, zones);
    for (const Roster& roster : rosters) {
      const auto source = roster.Source(kNow);
      if (!source) {
        ++readers;
        continue;
      }
      STRCMP_EQUAL(roster.Self().m_zone.c_str(), source->m_zone.c_str());
      sources.insert(source->m_name);
    }
    CHECK(readers <= 8);
    CHECK(readers >= static_cast<std::size_t>(zones));
    CHECK(sources.size() <= readers);
  }
}

TEST(Roster, AllZonesShareReadersWhenZonesOutnumberThem)
{
  std::size_t readers = 0;
  for (const Roster& roster : MakeRosters(60, 20)) {
    readers += roster.Source(kNow) ? 0 : 1;
  }
  LONGS_EQUAL(8, readers);
}

TEST(Roster, AFailedReaderIsSkippedDuringItsBackoff)
{
  Roster roster = MakeRosters(40, 2).at(5);
  const auto first = roster.Source(kNow);
  CHECK(first.has_value());
  roster.OnRequestFailed(first->m_name, kNow);
  const auto second = roster.Source(kNow);
  CHECK(second.has_value() && second->m_name != first->m_name);
  const auto again = roster.Source(kNow + 1s);
  CHECK(again.has_value() && again->m_name == first->m_name);
  roster.OnRequestFailed(first->m_name, kNow + 1s);
  STRCMP_EQUAL(second->m_name.c_str(), roster.Source(kNow + 2500ms)->m_name.c_str());
  roster.OnRequestSucceeded(first->m_name);
  STRCMP_EQUAL(first->m_name.c_str(), roster.Source(kNow + 2500ms)->m_name.c_str());
}

TEST(Roster, AHostThatReachesNoReaderReadsDirectly)
{
  Roster roster = MakeRosters(12, 2).at(5);
  for (int i = 0; i < 12 && roster.Source(kNow); ++i) {
    roster.OnRequestFailed(roster.Source(kNow)->m_name, kNow);
  }
  CHECK_FALSE(roster.Source(kNow).has_value());
}

TEST(Roster, AnAddressChangeUpdatesThePeerAndTheOwnRecordIsIgnored)
{
  Roster roster(MakePeer(0, 1));
  roster.AddOrUpdate(MakePeer(0, 1));
  LONGS_EQUAL(1, roster.HostCount());
  roster.AddOrUpdate(MakePeer(1, 1));
  roster.AddOrUpdate({ "host-1", "zone-0", "moved:2" });
  LONGS_EQUAL(2, roster.HostCount());
}

TEST(Roster, AllHostsAgreeOnTheHighestRankedHost)
{
  const std::vector<Roster> rosters = MakeRosters(40, 4);
  for (const char* zone : { "zone-0", "zone-3", "" }) {
    const Peer first = rosters.front().HighestRanked(zone, kNow);
    for (const Roster& roster : rosters) {
      CHECK(roster.HighestRanked(zone, kNow) == first);
    }
    CHECK(*zone == '\0' || first.m_zone == zone);
  }
}

TEST(Roster, TheHostItselfRanksHighestForAZoneWithoutHosts)
{
  const std::vector<Roster> rosters = MakeRosters(3, 1);
  CHECK(rosters[1].HighestRanked("elsewhere", kNow) == rosters[1].Self());
}
