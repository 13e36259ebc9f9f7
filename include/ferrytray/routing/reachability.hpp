#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint8_t
#include <map>      // for map
#include <optional> // for optional
#include <string>   // for string

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::routing {

/// @brief What a host can do with the endpoints that the directory lists.
enum class Reachability : std::uint8_t
{
  Reachable,        ///< connections can be opened
  NoNewConnections, ///< no connection can be opened, but endpoints answer on open ones
  Unreachable,      ///< no connection can be opened, and no endpoint answers
  Returning,        ///< connections can be opened again; the load returns gradually
};

/// @brief The value of the "state" key in log lines.
[[nodiscard]] std::string ToString(Reachability aState);

struct ReachabilityOptions
{
  /// Different endpoints to which connects must fail, or all endpoints if there are fewer.
  std::size_t m_minEndpoints = 3;
  /// Availability zones that these endpoints are in, or all zones if there are fewer.
  std::size_t m_minZones = 2;
  /// A failed connect is evidence for this long.
  base::Duration m_evidenceLifetime = std::chrono::seconds(5);
  /// Endpoints count as silent if none has answered for this long while requests are open.
  base::Duration m_silentAfter = std::chrono::milliseconds(400);
  /// From the first new connection until all requests may be sent directly again.
  base::Duration m_returnTime = std::chrono::milliseconds(1500);
};

/// @brief Number of listed endpoints and of the availability zones that they are in.
struct ListedEndpoints
{
  std::size_t m_endpoints = 0;
  std::size_t m_zones = 0;
};

/// @brief Detects that this host is partitioned from all endpoints, from the outcomes of its own
/// connects and requests. Does no I/O.
///
/// One endpoint that fails, or all endpoints of one zone, are no partition: connects must fail to
/// several endpoints of several zones without one success in between. Answers on open connections
/// do not prove that new ones can be opened, so they are tracked separately.
class ReachabilityMonitor
{
public:
  explicit ReachabilityMonitor(ReachabilityOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  void OnSent(base::TimePoint aNow);
  /// @brief An endpoint answered, on a new or an open connection.
  void OnAnswered(base::TimePoint aNow);
  /// @brief An endpoint broke a connection, or the network did.
  void OnBroken(base::TimePoint aNow) { m_brokenAt = aNow; }
  /// @brief A connection to an endpoint was established.
  void OnConnected(base::TimePoint aNow);
  void OnConnectFailed(const std::string& aEndpoint,
                       const std::string& aZone,
                       const ListedEndpoints& aListed,
                       base::TimePoint aNow);

  [[nodiscard]] Reachability State(base::TimePoint aNow) const;
  /// @brief Whether no endpoint can be reached at all.
  [[nodiscard]] bool IsUnreachable(base::TimePoint aNow) const
  {
    return State(aNow) == Reachability::Unreachable;
  }
  /// @brief Whether new connections can be opened. While they cannot, a failed connect is no
  /// evidence against its endpoint.
  [[nodiscard]] bool CanConnect() const { return !m_connectsFail; }
  /// @brief Whether connects failed, connections broke or endpoints are silent, so that a probe is
  /// needed to distinguish a partition from failed endpoints.
  [[nodiscard]] bool IsSuspect(base::TimePoint aNow) const;
  /// @brief Fraction of the requests that this host should send to endpoints itself (0 to 1).
  [[nodiscard]] double DirectFraction(base::TimePoint aNow) const;
  /// @brief Whether the latest connect to the endpoint failed.
  [[nodiscard]] bool HasFailed(const std::string& aEndpoint) const
  {
    return m_failures.contains(aEndpoint);
  }
  [[nodiscard]] std::size_t FailedEndpoints() const { return m_failures.size(); }
  /// @brief Number of connects since the construction that failed.
  [[nodiscard]] std::size_t FailedConnects() const { return m_failedConnects; }

private:
  struct Failure
  {
    std::string m_zone;
    base::TimePoint m_at;
  };

  [[nodiscard]] bool IsSilent(base::TimePoint aNow) const
  {
    return m_unansweredSince && aNow >= *m_unansweredSince + m_options.m_silentAfter;
  }

  ReachabilityOptions m_options;
  std::map<std::string, Failure> m_failures; ///< since the last new connection, by endpoint
  bool m_connectsFail = false;               ///< enough failures were seen
  std::size_t m_failedConnects = 0;
  std::optional<base::TimePoint> m_unansweredSince; ///< first request after the last answer
  std::optional<base::TimePoint> m_answeredAt;
  std::optional<base::TimePoint> m_brokenAt;   ///< unless a connection was established since
  std::optional<base::TimePoint> m_returnedAt; ///< first new connection after a partition
};

} // namespace ferrytray::routing
