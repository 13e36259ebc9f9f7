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
  /// Backoff after the first failed request to a peer; doubles with each further one.
  base::Duration m_backoffMin = std::chrono::milliseconds(1000);
  base::Duration m_backoffMax = std::chrono::milliseconds(16000);
};

/// @brief The known hosts, and which of them read for others. Does no I/O.
///
/// In each zone, the hosts with the highest capacity read the KV stores and the record log for all
/// others there, so that the load on these does not grow with the number of hosts. Every host
/// determines them by the same rule.
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

  /// @brief Returns the reader that this host polls; none if it is a reader itself.
  [[nodiscard]] std::optional<Peer> Source(base::TimePoint aNow) const;
  /// @brief Returns the readers of all zones except this host.
  [[nodiscard]] std::vector<Peer> OtherReaders(base::TimePoint aNow) const;
  /// @brief Returns the readers for the hosts of a zone.
  [[nodiscard]] std::vector<Peer> ReadersOf(const std::string& aZone, base::TimePoint aNow) const;
  /// @brief Returns the highest-ranked reachable host of a zone, or of all zones if aZone is empty;
  /// may be this host.
  [[nodiscard]] Peer HighestRanked(const std::string& aZone, base::TimePoint aNow) const;
  /// @brief Whether this host is among the first aCount of all known hosts in the hash order for a
  /// name. Unreachable hosts count too, so that all hosts agree.
  [[nodiscard]] bool IsAmongFirst(std::string_view aName, std::size_t aCount) const;
  [[nodiscard]] const Peer& Self() const { return m_self; }
  [[nodiscard]] std::size_t HostCount() const { return m_peers.size() + 1; }

private:
  struct Entry
  {
    Peer m_peer;
    std::uint32_t m_failures = 0; ///< consecutive failed requests
    std::optional<base::TimePoint> m_backoffUntil;
  };

  [[nodiscard]] std::set<std::string> Zones() const;
  /// @brief Returns the readers for the hosts of a zone. They are ordered by rank unless all hosts
  /// are readers.
  [[nodiscard]] std::vector<const Peer*> RankedReaders(const std::string& aZone,
                                                       base::TimePoint aNow) const;
  [[nodiscard]] std::vector<const Peer*> Reachable(base::TimePoint aNow) const;

  Peer m_self;
  RosterOptions m_options;
  std::map<std::string, Entry> m_peers; ///< by name
};

} // namespace ferrytray::peers
