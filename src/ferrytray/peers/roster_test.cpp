#include "ferrytray/peers/roster.hpp"

#include <map> // for map
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
    constexpr std::size_t kRelaysPerZone = 16;
    CHECK(sources.size() <= readers + kRelaysPerZone * static_cast<std::size_t>(zones));
  }
}

TEST(Roster, FanOutAndDepthAreBoundedAtAnySize)
{
  for (const int hosts : { 10, 100, 1000 }) {
    constexpr int kZones = 6;
    // A tenth of the hosts has more capacity than the others.
    std::vector<Peer> all;
    for (int i = 0; i < hosts; ++i) {
      all.push_back(MakePeer(i, kZones));
      all.back().m_capacity = i < hosts / 10 ? 100'000 : 240;
    }
    std::map<std::string, std::string> sourceOf;
    std::map<std::string, int> followers;
    for (const Peer& self : all) {
      Roster roster(self);
      for (const Peer& other : all) {
        roster.AddOrUpdate(other);
      }
      if (const auto source = roster.Source(kNow)) {
        STRCMP_EQUAL(self.m_zone.c_str(), source->m_zone.c_str());
        sourceOf[self.m_name] = source->m_name;
        ++followers[source->m_name];
      }
    }
    CHECK(hosts - static_cast<int>(sourceOf.size()) <= 8);
    for (const auto& [name, count] : followers) {
      CHECK(count <= 48);
    }
    for (const Peer& host : all) {
      int depth = 0;
      for (auto at = sourceOf.find(host.m_name); at != sourceOf.end();
           at = sourceOf.find(at->second)) {
        ++depth;
      }
      CHECK(depth <= 2);
    }
  }
}

TEST(Roster, AnUnregisteredHostNeitherReadsNorCounts)
{
  std::vector<Roster> rosters = MakeRosters(40, 2);
  Roster host(MakePeer(41, 2));
  host.SetRegistered(false);
  for (int other = 0; other < 40; ++other) {
    host.AddOrUpdate(MakePeer(other, 2));
  }
  CHECK(host.Source(kNow).has_value());
  CHECK_FALSE(host.IsAmongFirst("name", 41));
  CHECK_FALSE(host.HighestRanked("", kNow) == host.Self());
}

TEST(Roster, ChangesASourceThatLacksRecords)
{
  Roster host(MakePeer(90, 3));
  host.SetRegistered(false);
  for (int other = 0; other < 90; ++other) {
    host.AddOrUpdate(MakePeer(other, 3));
  }
  std::set<std::string> sources;
  for (int i = 0; i < 10; ++i) {
    sources.insert(host.Source(kNow)->m_name);
    host.ChangeSource();
  }
  CHECK(sources.size() > 3);
}

TEST(Roster, OnlyHostsThatWouldReadOrRelayRegister)
{
  Roster roster({ "weak", "zone-0", "weak:1", 1 });
  for (int other = 0; other < 34; ++other) {
    CHECK(roster.ShouldRegister());
    Peer peer = MakePeer(other, 2);
    peer.m_capacity = 2;
    roster.AddOrUpdate(peer);
  }
  CHECK(roster.ShouldRegister()); // 17 hosts of its zone precede it; 4 readers and 16 relays
  for (int other = 34; other < 42; ++other) {
    Peer peer = MakePeer(other, 2);
    peer.m_capacity = 2;
    roster.AddOrUpdate(peer);
  }
  CHECK_FALSE(roster.ShouldRegister());
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

TEST(Roster, AllHostsAgreeOnTheIssuerOfAnEndpoint)
{
  for (const int hosts : { 8, 90, 600 }) {
    const std::vector<Roster> rosters = MakeRosters(hosts, 4);
    std::set<std::string> issuers;
    for (int endpoint = 0; endpoint < 40; ++endpoint) {
      const std::string name = std::to_string(endpoint);
      const std::string zone = "zone-" + std::to_string(endpoint % 4);
      const std::string issuer = rosters.front().Issuer(name, zone, {}, kNow)->m_name;
      issuers.insert(issuer);
      int first = 0;
      for (const Roster& roster : rosters) {
        STRCMP_EQUAL(issuer.c_str(), roster.Issuer(name, zone, {}, kNow)->m_name.c_str());
        STRCMP_EQUAL(zone.c_str(), roster.Issuer(name, zone, {}, kNow)->m_zone.c_str());
        first += roster.IsFirstIssuer(name, zone) ? 1 : 0;
      }
      LONGS_EQUAL(1, first);
    }
    LONGS_EQUAL(8, issuers.size()); // the readers
  }
}

TEST(Roster, NextHostIssuesWhileTheFirstIssuerIsUnreachable)
{
  std::vector<Roster> rosters = MakeRosters(8, 1);
  const std::string first = rosters.front().Issuer("e", "zone-0", {}, kNow)->m_name;
  for (Roster& roster : rosters) {
    if (roster.Self().m_name == first) {
      continue;
    }
    const std::string second = roster.Issuer("e", "zone-0", { first }, kNow)->m_name;
    roster.OnRequestFailed(first, kNow);
    STRCMP_EQUAL(second.c_str(), roster.Issuer("e", "zone-0", {}, kNow)->m_name.c_str());
    CHECK_FALSE(roster.IsFirstIssuer("e", "zone-0"));
    STRCMP_EQUAL(first.c_str(), roster.Issuer("e", "zone-0", {}, kNow + 1s)->m_name.c_str());
  }
}

TEST(Roster, RemovedIssuerIsReplacedByTheNextHost)
{
  std::vector<Roster> rosters = MakeRosters(8, 1);
  const std::string first = rosters.front().Issuer("e", "zone-0", {}, kNow)->m_name;
  const std::string second = rosters.front().Issuer("e", "zone-0", { first }, kNow)->m_name;
  for (Roster& roster : rosters) {
    for (int i = 0; i < 5; ++i) {
      roster.OnRequestFailed(first, kNow);
    }
    if (roster.Self().m_name == second) {
      CHECK(roster.IsFirstIssuer("e", "zone-0"));
    }
  }
}

// If each host issued permits itself then, all of them together would exceed the limit.
TEST(Roster, HostsAgreeOnAnIssuerElsewhereIfAllHostsOfTheZoneFail)
{
  std::vector<Roster> rosters = MakeRosters(8, 4);
  const std::set<std::string> zoneHosts{ "host-0", "host-4" };
  std::set<std::string> issuers;
  for (Roster& roster : rosters) {
    if (zoneHosts.contains(roster.Self().m_name)) {
      continue;
    }
    for (const std::string& host : zoneHosts) {
      roster.OnRequestFailed(host, kNow);
    }
    issuers.insert(roster.Issuer("e", "zone-0", {}, kNow)->m_name);
    CHECK_FALSE(roster.IsFirstIssuer("e", "zone-0"));
  }
  LONGS_EQUAL(1, issuers.size());
  CHECK_FALSE(zoneHosts.contains(*issuers.begin()));
}

TEST(Roster, EndpointOfAZoneWithoutHostsHasAnIssuer)
{
  const std::vector<Roster> rosters = MakeRosters(8, 2);
  const std::string issuer = rosters.front().Issuer("e", "elsewhere", {}, kNow)->m_name;
  for (const Roster& roster : rosters) {
    STRCMP_EQUAL(issuer.c_str(), roster.Issuer("e", "elsewhere", {}, kNow)->m_name.c_str());
  }
}
