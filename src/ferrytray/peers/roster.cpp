#include "ferrytray/peers/roster.hpp"

#include <algorithm> // for max, min, sort, stable_sort

#include "ferrytray/base/digest.hpp" // for Hash64

namespace ferrytray::peers {

namespace {

constexpr std::string_view kReaderRankSeed = "reader";

/// Sorts by a hash that is the same on all hosts.
void SortByHash(std::vector<const Peer*>& aPeers, std::string_view aSeed)
{
  std::sort(aPeers.begin(), aPeers.end(), [aSeed](const Peer* aLeft, const Peer* aRight) {
    return base::Hash64(aSeed, aLeft->m_name) < base::Hash64(aSeed, aRight->m_name);
  });
}

/// Sorts by descending capacity; the order is the same on all hosts.
void SortByRank(std::vector<const Peer*>& aPeers)
{
  SortByHash(aPeers, kReaderRankSeed);
  std::stable_sort(aPeers.begin(), aPeers.end(), [](const Peer* aLeft, const Peer* aRight) {
    return aLeft->m_capacity > aRight->m_capacity;
  });
}

} // namespace

void Roster::AddOrUpdate(const Peer& aPeer)
{
  if (aPeer.m_name == m_self.m_name) {
    return;
  }
  Entry& entry = m_peers[aPeer.m_name];
  if (entry.m_peer != aPeer) {
    entry = { aPeer, 0, {} };
  }
}

void Roster::OnRequestSucceeded(const std::string& aName)
{
  const auto found = m_peers.find(aName);
  if (found != m_peers.end()) {
    found->second.m_failures = 0;
    found->second.m_backoffUntil.reset();
  }
}

void Roster::OnRequestFailed(const std::string& aName, base::TimePoint aNow)
{
  const auto found = m_peers.find(aName);
  if (found == m_peers.end()) {
    return;
  }
  Entry& entry = found->second;
  constexpr std::uint32_t kMaxDoublings = 8;
  const auto factor = std::int64_t{ 1 } << std::min(entry.m_failures, kMaxDoublings);
  entry.m_backoffUntil = aNow + std::min(m_options.m_backoffMin * factor, m_options.m_backoffMax);
  ++entry.m_failures;
}

std::vector<const Peer*> Roster::Reachable(base::TimePoint aNow) const
{
  std::vector<const Peer*> reachable{ &m_self };
  for (const auto& [name, entry] : m_peers) {
    if (!entry.m_backoffUntil || *entry.m_backoffUntil <= aNow) {
      reachable.push_back(&entry.m_peer);
    }
  }
  return reachable;
}

std::set<std::string> Roster::Zones() const
{
  std::set<std::string> zones{ m_self.m_zone };
  for (const auto& [name, entry] : m_peers) {
    zones.insert(entry.m_peer.m_zone);
  }
  return zones;
}

std::vector<const Peer*> Roster::RankedReaders(const std::string& aZone, base::TimePoint aNow) const
{
  std::vector<const Peer*> readers = Reachable(aNow);
  if (HostCount() <= m_options.m_readers) {
    return readers;
  }
  const std::size_t zones = Zones().size();
  // With more zones than readers, all hosts share the same readers.
  const bool byZone = zones <= m_options.m_readers;
  const std::size_t maxReaders = byZone ? m_options.m_readers / zones : m_options.m_readers;
  std::erase_if(readers, [&](const Peer* aPeer) { return byZone && aPeer->m_zone != aZone; });
  SortByRank(readers);
  readers.resize(std::min(readers.size(), maxReaders));
  return readers;
}

std::optional<Peer> Roster::Source(base::TimePoint aNow) const
{
  std::vector<const Peer*> readers = RankedReaders(m_self.m_zone, aNow);
  if (std::find(readers.begin(), readers.end(), &m_self) != readers.end()) {
    return std::nullopt;
  }
  // Spreads the hosts of the zone over its readers.
  SortByHash(readers, m_self.m_name);
  return *readers.front();
}

Peer Roster::HighestRanked(const std::string& aZone, base::TimePoint aNow) const
{
  std::vector<const Peer*> hosts = Reachable(aNow);
  std::erase_if(hosts, [&](const Peer* aPeer) { return !aZone.empty() && aPeer->m_zone != aZone; });
  if (hosts.empty()) {
    return m_self;
  }
  SortByRank(hosts);
  return *hosts.front();
}

bool Roster::IsAmongFirst(std::string_view aName, std::size_t aCount) const
{
  const std::uint64_t own = base::Hash64(aName, m_self.m_name);
  std::size_t before = 0;
  for (const auto& [name, entry] : m_peers) {
    before += base::Hash64(aName, name) < own ? 1 : 0;
  }
  return before < aCount;
}

std::vector<Peer> Roster::ReadersOf(const std::string& aZone, base::TimePoint aNow) const
{
  std::vector<Peer> readers;
  for (const Peer* reader : RankedReaders(aZone, aNow)) {
    readers.push_back(*reader);
  }
  return readers;
}

std::vector<Peer> Roster::OtherReaders(base::TimePoint aNow) const
{
  std::set<const Peer*> readers;
  for (const std::string& zone : Zones()) {
    const std::vector<const Peer*> ofZone = RankedReaders(zone, aNow);
    readers.insert(ofZone.begin(), ofZone.end());
  }
  readers.erase(&m_self);
  std::vector<Peer> others;
  others.reserve(readers.size());
  for (const Peer* reader : readers) {
    others.push_back(*reader);
  }
  return others;
}

} // namespace ferrytray::peers
