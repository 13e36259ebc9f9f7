#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t
#include <map>      // for map
#include <optional> // for optional
#include <random>   // for mt19937_64
#include <set>      // for set
#include <span>     // for span
#include <string>   // for string

#include "ferrytray/base/time.hpp"    // for Duration, TimePoint
#include "ferrytray/peers/roster.hpp" // for Peer

namespace ferrytray::relay {

struct ForwardTargetsOptions
{
  /// Backoff after a host declined or failed; doubles with each further one in a row.
  base::Duration m_backoffMin = std::chrono::milliseconds(500);
  base::Duration m_backoffMax = std::chrono::milliseconds(4000);
  /// Failures in a row of hosts of one zone after which the whole zone is in backoff.
  std::uint32_t m_zoneFailures = 2;
  /// How long the own zone is not preferred after one of its hosts had no capacity left; doubles
  /// with each further one.
  base::Duration m_noPreferenceMin = std::chrono::milliseconds(1000);
  base::Duration m_noPreferenceMax = std::chrono::milliseconds(8000);
};

/// @brief Selects the hosts that requests are forwarded to. Does no I/O.
///
/// Of two hosts that are drawn at random the one with fewer open requests of this host is selected,
/// so that the load spreads over all hosts without any coordination. Hosts of the own zone come
/// first as long as they have capacity: where most of a zone is partitioned, the few others could
/// not serve its requests. A zone whose hosts decline one after the other is probably partitioned
/// as a whole, so its hosts come last for some time.
class ForwardTargets
{
public:
  explicit ForwardTargets(ForwardTargetsOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @param aHosts reachable hosts, without this one
  /// @param aZone availability zone of this host
  /// @param aExcluded names of hosts that must not be selected
  [[nodiscard]] std::optional<peers::Peer> Pick(std::span<const peers::Peer> aHosts,
                                                const std::string& aZone,
                                                const std::set<std::string>& aExcluded,
                                                std::mt19937_64& aRandom,
                                                base::TimePoint aNow) const;
  void OnSent(const peers::Peer& aHost);
  void OnEnded(const std::string& aHost);
  /// @brief The host declined, or could not be reached.
  void OnFailed(const std::string& aHost, base::TimePoint aNow);
  /// @brief The host refused a request because the endpoints' capacity is taken.
  void OnOverloaded(const std::string& aHost, base::TimePoint aNow);
  /// @brief An endpoint replied through the host.
  void OnServed(const std::string& aHost);
  /// @brief Returns when the first backoff ends; empty if no host is in backoff.
  [[nodiscard]] std::optional<base::TimePoint> FirstBackoffEnd(base::TimePoint aNow) const;

private:
  struct Backoff
  {
    std::uint32_t m_failures = 0; ///< in a row
    base::TimePoint m_until{};
  };
  struct BackoffLimits
  {
    std::uint32_t m_free = 0; ///< number of failures that cause no backoff
    base::Duration m_min{};
    base::Duration m_max{};
  };
  struct State
  {
    std::string m_zone;
    std::uint32_t m_open = 0;
    Backoff m_backoff;
  };

  [[nodiscard]] bool IsPreferred(const std::string& aZone,
                                 const std::string& aOwnZone,
                                 base::TimePoint aNow) const;
  static void Extend(Backoff& aBackoff, const BackoffLimits& aLimits, base::TimePoint aNow);
  [[nodiscard]] bool IsHostInBackoff(const std::string& aHost, base::TimePoint aNow) const;
  [[nodiscard]] bool IsZoneInBackoff(const std::string& aZone, base::TimePoint aNow) const;
  [[nodiscard]] std::uint32_t OpenRequests(const std::string& aHost) const;

  ForwardTargetsOptions m_options;
  std::map<std::string, State> m_states; ///< by host
  std::map<std::string, Backoff> m_zones;
  std::map<std::string, Backoff> m_overloadedZones;
};

} // namespace ferrytray::relay
