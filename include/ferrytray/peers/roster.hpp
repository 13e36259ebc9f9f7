#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for uint32_t, uint64_t
#include <map>         // for map
#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::peers {

/// @brief A host, as it is registered in the topic of hosts.
struct Peer
{
  std::string m_name;
  std::string m_zone;           ///< availability zone
  std::string m_address;        ///< IP:PORT for requests of other hosts
  std::uint32_t m_capacity = 0; ///< of processor and link; only compared with that of other hosts
  bool operator==(const Peer&) const = default;
};

struct RosterOptions
{
  /// Maximum number of readers, over all zones. Each of them reads from every KV store. At the
  /// users' sites a store serves 12 readers at once; the difference is left for hosts that take
  /// over and for readers that were just replaced.
  std::size_t m_readers = 8;
  /// Hosts of each zone, ranked after its readers, that poll a reader and are polled by the hosts
  /// ranked after them. With 300 hosts a zone, each of them is polled by 18 others.
  std::size_t m_relaysPerZone = 16;
  /// Backoff after the first failed request to a peer; doubles with each further one.
  base::Duration m_backoffMin = std::chrono::milliseconds(1000);
  base::Duration m_backoffMax = std::chrono::milliseconds(16000);
  /// After this many consecutive failed requests, half a minute, a host counts as removed.
  std::uint32_t m_removedAfterFailures = 5;
};

/// @brief The registered hosts, and the tree in which they poll each other. Does no I/O.
///
/// In each zone, the hosts with the highest capacity are readers: they read the KV stores and the
/// record log for all others there, so that the load on these does not grow with the number of
/// hosts. The hosts ranked next are relays: they poll a reader. All other hosts poll a reader or a
/// relay, chosen by a hash that is weighted by capacity, and need not be registered. Every host
/// determines readers and relays by the same rule. A host polls only hosts of a higher rank, so
/// that there are no cycles.
class Roster
{
public:
  explicit Roster(const Peer& aSelf, RosterOptions aOptions = {});

  void AddOrUpdate(const Peer& aPeer);
  /// @brief Sets whether this host is registered, so that others know it. An unregistered host
  /// reads by itself only if it can reach no registered host of its zone.
  void SetRegistered(bool aRegistered) { m_registered = aRegistered; }
  [[nodiscard]] bool IsRegistered() const { return m_registered; }
  /// @brief Whether too few hosts with at least this host's capacity are registered to read and
  /// relay for its zone.
  [[nodiscard]] bool ShouldRegister() const;
  void OnRequestSucceeded(const std::string& aName);
  void OnRequestFailed(const std::string& aName, base::TimePoint aNow);

  /// @brief Returns the reader or relay that this host polls; none if it is a reader itself.
  [[nodiscard]] std::optional<Peer> Source(base::TimePoint aNow) const;
  /// @brief Makes Source() choose anew, for a host whose source is reachable but lacks records.
  void ChangeSource() { ++m_sourceChoice; }
  /// @brief Returns the readers of all zones except this host.
  [[nodiscard]] std::vector<Peer> OtherReaders(base::TimePoint aNow) const;
  /// @brief Returns the readers and relays for the hosts of a zone.
  [[nodiscard]] std::vector<Peer> SourcesOf(const std::string& aZone, base::TimePoint aNow) const;
  /// @brief Returns the highest-ranked reachable host of a zone, or of all zones if aZone is empty;
  /// may be this host.
  [[nodiscard]] Peer HighestRanked(const std::string& aZone, base::TimePoint aNow) const;
  /// @brief Whether this host is among the first aCount of all registered hosts in the hash order
  /// for a name. Unreachable hosts count too, so that all hosts agree.
  [[nodiscard]] bool IsAmongFirst(std::string_view aName, std::size_t aCount) const;
  /// @brief Returns the host that issues the permits for an endpoint of a zone: the first reachable
  /// one in the order of issuers. Empty if none is reachable.
  /// @param aExcluded names of hosts that must not be selected
  [[nodiscard]] std::optional<Peer> Issuer(std::string_view aEndpoint,
                                           const std::string& aZone,
                                           const std::set<std::string>& aExcluded,
                                           base::TimePoint aNow) const;
  /// @brief Whether this host is the first in the order of issuers. Hosts that are unreachable for
  /// the moment count too, so that not more than one host is the first.
  [[nodiscard]] bool IsFirstIssuer(std::string_view aEndpoint, const std::string& aZone) const;
  /// @brief Whether any other host that is not in aExcluded is reachable.
  [[nodiscard]] bool AnyReachable(const std::set<std::string>& aExcluded,
                                  base::TimePoint aNow) const;
  /// @brief Returns the registered hosts to which requests do not fail at the moment, without this
  /// one.
  [[nodiscard]] std::vector<Peer> ReachableHosts(base::TimePoint aNow) const;
  [[nodiscard]] const Peer& Self() const { return m_self.m_peer; }
  [[nodiscard]] std::size_t HostCount() const { return m_peers.size() + 1; }

private:
  struct Entry
  {
    Peer m_peer;
    std::uint64_t m_rankHash = 0; ///< order of hosts with the same capacity
    std::uint32_t m_failures = 0; ///< consecutive failed requests
    std::optional<base::TimePoint> m_backoffUntil;
  };
  using Entries = std::vector<const Entry*>;

  /// Whether a host precedes another one in the order by rank.
  static bool Outranks(const Entry* aLeft, const Entry* aRight);
  [[nodiscard]] std::set<std::string> Zones() const;
  /// Whether each zone has readers of its own. With more zones than readers, all zones share them.
  [[nodiscard]] bool HasZoneReaders() const { return Zones().size() <= m_options.m_readers; }
  /// Number of readers of a zone, or of all zones if they share them.
  [[nodiscard]] std::size_t ReaderCount() const;
  /// Returns the reachable hosts, among them this one if it is registered.
  [[nodiscard]] Entries Reachable(base::TimePoint aNow) const;
  /// Returns the reachable hosts that may read or relay for a zone, by descending rank.
  [[nodiscard]] Entries Ranked(const std::string& aZone, base::TimePoint aNow) const;
  /// Returns the hosts that may issue permits for an endpoint, in order: the readers of its zone in
  /// the hash order of the endpoint, then the other hosts there by rank, then those of other zones.
  /// If all hosts of the zone fail, the others must agree on one issuer, too.
  [[nodiscard]] Entries Issuers(std::string_view aEndpoint, const std::string& aZone) const;
  /// Whether requests to the host fail at the moment.
  [[nodiscard]] static bool IsBackingOff(const Entry& aEntry, base::TimePoint aNow)
  {
    return aEntry.m_backoffUntil && aNow < *aEntry.m_backoffUntil;
  }
  /// Returns the readers for the hosts of a zone, by descending rank unless all hosts are readers.
  [[nodiscard]] Entries Readers(const std::string& aZone, base::TimePoint aNow) const;

  Entry m_self;
  bool m_registered = true;
  std::uint32_t m_sourceChoice = 0; ///< part of the hash that chooses the source
  RosterOptions m_options;
  std::map<std::string, Entry> m_peers; ///< by name
};

} // namespace ferrytray::peers
