#include "ferrytray/peers/roster.hpp"

#include <algorithm> // for any_of, count_if, find, min, min_element, sort, stable_partition
#include <cmath>     // for log
#include <string>    // for to_string
#include <utility>   // for move

#include "ferrytray/base/digest.hpp" // for Hash64

namespace ferrytray::peers {

namespace {

constexpr std::string_view kRankSeed = "reader";

/// Weighted rendezvous hashing: a peer is chosen with a probability in proportion to its capacity.
double WeightedScore(const Peer& aPeer, const std::string& aName)
{
  constexpr double kHashRange = 18446744073709551616.0; // 2^64
  const double uniform =
    (static_cast<double>(base::Hash64(aName, aPeer.m_name)) + 1.0) / (kHashRange + 1.0);
  return -std::log(uniform) / std::max(aPeer.m_capacity, 1U);
}

} // namespace

Roster::Roster(const Peer& aSelf, RosterOptions aOptions)
  : m_self{ aSelf, base::Hash64(kRankSeed, aSelf.m_name), 0, {} }
  , m_options(aOptions)
{
}

void Roster::AddOrUpdate(const Peer& aPeer)
{
  if (aPeer.m_name == m_self.m_peer.m_name) {
    return;
  }
  Entry& entry = m_peers[aPeer.m_name];
  if (entry.m_peer != aPeer) {
    entry = { aPeer, base::Hash64(kRankSeed, aPeer.m_name), 0, {} };
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

Roster::Entries Roster::Reachable(base::TimePoint aNow) const
{
  Entries reachable;
  if (m_registered) {
    reachable.push_back(&m_self);
  }
  for (const auto& [name, entry] : m_peers) {
    if (!IsBackingOff(entry, aNow)) {
      reachable.push_back(&entry);
    }
  }
  return reachable;
}

std::set<std::string> Roster::Zones() const
{
  std::set<std::string> zones{ m_self.m_peer.m_zone };
  for (const auto& [name, entry] : m_peers) {
    zones.insert(entry.m_peer.m_zone);
  }
  return zones;
}

std::size_t Roster::ReaderCount() const
{
  const std::size_t zones = Zones().size();
  return zones <= m_options.m_readers ? m_options.m_readers / zones : m_options.m_readers;
}

Roster::Entries Roster::Ranked(const std::string& aZone, base::TimePoint aNow) const
{
  Entries hosts = Reachable(aNow);
  if (HasZoneReaders() && !aZone.empty()) {
    std::erase_if(hosts, [&](const Entry* aEntry) { return aEntry->m_peer.m_zone != aZone; });
  }
  std::sort(hosts.begin(), hosts.end(), &Roster::Outranks);
  return hosts;
}

bool Roster::Outranks(const Entry* aLeft, const Entry* aRight)
{
  if (aLeft->m_peer.m_capacity != aRight->m_peer.m_capacity) {
    return aLeft->m_peer.m_capacity > aRight->m_peer.m_capacity;
  }
  return aLeft->m_rankHash < aRight->m_rankHash;
}

Roster::Entries Roster::Readers(const std::string& aZone, base::TimePoint aNow) const
{
  if (HostCount() <= m_options.m_readers) {
    return Reachable(aNow);
  }
  Entries readers = Ranked(aZone, aNow);
  readers.resize(std::min(readers.size(), ReaderCount()));
  return readers;
}

bool Roster::ShouldRegister() const
{
  const bool byZone = HasZoneReaders();
  const auto equal = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aPair) {
    const Peer& peer = aPair.second.m_peer;
    return (!byZone || peer.m_zone == m_self.m_peer.m_zone) &&
           peer.m_capacity >= m_self.m_peer.m_capacity;
  });
  return static_cast<std::size_t>(equal) < ReaderCount() + m_options.m_relaysPerZone;
}

std::optional<Peer> Roster::Source(base::TimePoint aNow) const
{
  const Entries readers = Readers(m_self.m_peer.m_zone, aNow);
  if (std::find(readers.begin(), readers.end(), &m_self) != readers.end()) {
    return std::nullopt;
  }
  Entries sources = Ranked(m_self.m_peer.m_zone, aNow);
  const auto self = std::find(sources.begin(), sources.end(), &m_self);
  const std::size_t relaysEnd = readers.size() + m_options.m_relaysPerZone;
  const bool isRelay =
    self != sources.end() && static_cast<std::size_t>(self - sources.begin()) < relaysEnd;
  sources.resize(std::min(sources.size(), isRelay ? readers.size() : relaysEnd));
  if (sources.empty()) {
    return std::nullopt;
  }
  const std::string name =
    m_self.m_peer.m_name + (m_sourceChoice == 0 ? "" : "#" + std::to_string(m_sourceChoice));
  const auto best =
    std::min_element(sources.begin(), sources.end(), [&](const Entry* aLeft, const Entry* aRight) {
      return WeightedScore(aLeft->m_peer, name) < WeightedScore(aRight->m_peer, name);
    });
  return (*best)->m_peer;
}

Peer Roster::HighestRanked(const std::string& aZone, base::TimePoint aNow) const
{
  Entries hosts = Reachable(aNow);
  std::erase_if(
    hosts, [&](const Entry* aEntry) { return !aZone.empty() && aEntry->m_peer.m_zone != aZone; });
  const auto highest = std::min_element(hosts.begin(), hosts.end(), &Roster::Outranks);
  return highest == hosts.end() ? m_self.m_peer : (*highest)->m_peer;
}

bool Roster::IsAmongFirst(std::string_view aName, std::size_t aCount) const
{
  if (!m_registered) {
    return false;
  }
  const std::uint64_t own = base::Hash64(aName, m_self.m_peer.m_name);
  std::size_t before = 0;
  for (const auto& [name, entry] : m_peers) {
    before += base::Hash64(aName, name) < own ? 1 : 0;
  }
  return before < aCount;
}

Roster::Entries Roster::Issuers(std::string_view aEndpoint, const std::string& aZone) const
{
  Entries hosts;
  if (m_registered) {
    hosts.push_back(&m_self);
  }
  for (const auto& [name, entry] : m_peers) {
    if (entry.m_failures < m_options.m_removedAfterFailures) {
      hosts.push_back(&entry);
    }
  }
  std::sort(hosts.begin(), hosts.end(), &Roster::Outranks);
  const auto zoneEnd = std::stable_partition(hosts.begin(), hosts.end(), [&](const Entry* aEntry) {
    return aEntry->m_peer.m_zone == aZone;
  });
  const auto zoneHosts = static_cast<std::size_t>(zoneEnd - hosts.begin());
  const std::size_t readers = std::min(zoneHosts == 0 ? hosts.size() : zoneHosts, ReaderCount());
  std::sort(hosts.begin(),
            hosts.begin() + static_cast<std::ptrdiff_t>(readers),
            [&](const Entry* aLeft, const Entry* aRight) {
              return base::Hash64(aEndpoint, aLeft->m_peer.m_name) <
                     base::Hash64(aEndpoint, aRight->m_peer.m_name);
            });
  return hosts;
}

std::optional<Peer> Roster::Issuer(std::string_view aEndpoint,
                                   const std::string& aZone,
                                   const std::set<std::string>& aExcluded,
                                   base::TimePoint aNow) const
{
  for (const Entry* host : Issuers(aEndpoint, aZone)) {
    if (!IsBackingOff(*host, aNow) && !aExcluded.contains(host->m_peer.m_name)) {
      return host->m_peer;
    }
  }
  return std::nullopt;
}

bool Roster::IsFirstIssuer(std::string_view aEndpoint, const std::string& aZone) const
{
  const Entries hosts = Issuers(aEndpoint, aZone);
  return !hosts.empty() && hosts.front() == &m_self;
}

bool Roster::AnyReachable(const std::set<std::string>& aExcluded, base::TimePoint aNow) const
{
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& aPair) {
    return !IsBackingOff(aPair.second, aNow) && !aExcluded.contains(aPair.first);
  });
}

std::vector<Peer> Roster::ReachableHosts(base::TimePoint aNow) const
{
  std::vector<Peer> hosts;
  for (const auto& [name, entry] : m_peers) {
    if (!IsBackingOff(entry, aNow)) {
      hosts.push_back(entry.m_peer);
    }
  }
  return hosts;
}

std::vector<Peer> Roster::SourcesOf(const std::string& aZone, base::TimePoint aNow) const
{
  Entries sources = Ranked(aZone, aNow);
  sources.resize(std::min(sources.size(), ReaderCount() + m_options.m_relaysPerZone));
  std::vector<Peer> peers;
  peers.reserve(sources.size());
  for (const Entry* source : sources) {
    peers.push_back(source->m_peer);
  }
  return peers;
}

std::vector<Peer> Roster::OtherReaders(base::TimePoint aNow) const
{
  std::set<const Entry*> readers;
  for (const std::string& zone : Zones()) {
    const Entries ofZone = Readers(zone, aNow);
    readers.insert(ofZone.begin(), ofZone.end());
  }
  readers.erase(&m_self);
  std::vector<Peer> others;
  others.reserve(readers.size());
  for (const Entry* reader : readers) {
    others.push_back(reader->m_peer);
  }
  return others;
}

} // namespace ferrytray::peers
