#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for uint32_t
#include <map>         // for map
#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::peers {

/// @brief Another host of the system.
struct Peer
{
  std::string m_name;
  std::string m_zone;           ///< availability zone
  std::string m_address;        ///< IP:PORT where it answers other hosts
  std::uint32_t m_capacity = 0; ///< of its processor and link; only compared
  bool operator==(const Peer&) const = default;
};

struct RosterOptions
{
  /// Hosts that read from each KV store. A store answers 12 readers at once on the users' sites;
  /// the rest is for hosts that take over and for those that were just replaced.
  std::size_t m_readers = 8;
  base::Duration m_backoffMin = std::chrono::milliseconds(1000); ///< after a peer did not answer
  base::Duration m_backoffMax = std::chrono::milliseconds(16000);
};

/// @brief The hosts that this one knows of, and which of them it asks for news. Pure.
///
/// Some hosts of each zone, the strongest, read the KV stores and the record log for all others
/// there, so that what these bear does not depend on the number of hosts. Every host finds them by
/// the same rule.
class Roster
{
public:
  explicit Roster(Peer aSelf, RosterOptions aOptions = {})
    : m_self(std::move(aSelf))
    , m_options(aOptions)
  {
  }

  void AddOrUpdate(const Peer& aPeer);
  void OnRequestSucceeded(const std::string& aName);
  void OnRequestFailed(const std::string& aName, base::TimePoint aNow);

  /// @brief Whom this host asks; empty: it reads from the stores itself.
  [[nodiscard]] std::optional<Peer> Source(base::TimePoint aNow) const;
  /// @brief Of a host that reads from the stores: the others that do.
  [[nodiscard]] std::vector<Peer> OtherReaders(base::TimePoint aNow) const;
  /// @brief Those that read for the hosts of a zone.
  [[nodiscard]] std::vector<Peer> ReadersOf(const std::string& aZone, base::TimePoint aNow) const;
  /// @brief The first by rank of a zone's hosts, or of all if the zone is empty; may be this one.
  [[nodiscard]] Peer HighestRanked(const std::string& aZone, base::TimePoint aNow) const;
  /// @brief Whether this host is among the first so many of all known hosts by a hash of that name,
  /// reachable or not, so that hosts agree.
  [[nodiscard]] bool IsAmongFirst(std::string_view aName, std::size_t aCount) const;
  [[nodiscard]] const Peer& Self() const { return m_self; }
  [[nodiscard]] std::size_t HostCount() const { return m_peers.size() + 1; }

private:
  struct Entry
  {
    Peer m_peer;
    std::uint32_t m_failures = 0; ///< in a row
    std::optional<base::TimePoint> m_backoffUntil;
  };

  [[nodiscard]] std::set<std::string> Zones() const;
  /// @brief The readers for the hosts of a zone, by rank.
  [[nodiscard]] std::vector<const Peer*> RankedReaders(const std::string& aZone,
                                                       base::TimePoint aNow) const;
  [[nodiscard]] std::vector<const Peer*> Reachable(base::TimePoint aNow) const;

  Peer m_self;
  RosterOptions m_options;
  std::map<std::string, Entry> m_peers; ///< by name
};

} // namespace ferrytray::peers
