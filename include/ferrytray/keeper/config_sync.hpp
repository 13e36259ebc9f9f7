#pragma once

#include <functional> // for function
#include <optional>   // for optional
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/replay/config_replay.hpp" // for ConfigReplay
#include "ferrytray/wire/frames.hpp"          // for StateUpdate
#include "ferrytray/wire/log_client.hpp"      // for LogClient
#include "ferrytray/wire/log_follower.hpp"    // for LogFollower

namespace ferrytray::keeper {

/// @brief Keeps the configuration state in step with the platform's log, or with peers while the
/// log is away.
class ConfigSync
{
public:
  using OnChange = std::function<void()>;

  /// @param aMaxDelay a change is in force within so long after the log took it
  ConfigSync(net::Loop& aLoop,
             net::HttpClient& aHttp,
             const std::string& aPlatform,
             base::Duration aMaxDelay);
  /// @param aOnChange the position or a scope changed
  void Start(OnChange aOnChange);
  /// @brief A peer's state came.
  void OnPeerState(const wire::StateUpdate& aUpdate);
  /// @brief Appends a scope again before its last copy leaves the log.
  /// @param aIsResponsible whether this host is the one to do it
  void RenewDueScope(base::Duration aMaxAge, bool aIsResponsible);

  [[nodiscard]] const replay::ConfigReplay& Replay() const { return m_replay; }
  /// @brief Whether some state is known: the log was read to its end, or a peer told.
  [[nodiscard]] bool Ready() const { return m_follower.CaughtUp() || m_receivedFromPeer; }
  [[nodiscard]] bool LogReachable() const { return m_follower.Reachable(); }
  /// @brief Whatever the log had taken by then is known here. Peers do not tell when they heard.
  [[nodiscard]] std::optional<base::TimePoint> HeardAt() const { return m_follower.HeardAt(); }

private:
  void OnPage(const wire::LogPage& aPage);

  wire::LogFollower m_follower;
  wire::LogClient m_appender;
  replay::ConfigReplay m_replay;
  std::vector<replay::LoggedRecord> m_bootstrapRecords;
  OnChange m_onChange;
  bool m_bootstrapped = false;
  bool m_receivedFromPeer = false;
  bool m_renewalPending = false;
};

} // namespace ferrytray::keeper
