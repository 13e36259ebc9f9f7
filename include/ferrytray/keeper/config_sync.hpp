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

/// @brief Synchronizes the configuration state with the platform's log, or with peers while the
/// log is unreachable.
class ConfigSync
{
public:
  using OnChange = std::function<void()>;

  /// @param aMaxDelay maximum time from the append of a change until it is in force
  ConfigSync(net::Loop& aLoop,
             net::HttpClient& aHttp,
             const std::string& aPlatform,
             base::Duration aMaxDelay);
  /// @param aOnChange called when the position or a scope has changed
  void Start(OnChange aOnChange);
  /// @brief Merges the state received from a peer.
  void OnPeerState(const wire::StateUpdate& aUpdate);
  /// @brief Appends one scope again, before its last copy is truncated from the log.
  /// @param aMaxAge a scope is due once its newest copy is older
  /// @param aIsResponsible whether this host does the renewals
  void RenewDueScope(base::Duration aMaxAge, bool aIsResponsible);

  [[nodiscard]] const replay::ConfigReplay& Replay() const { return m_replay; }
  /// @brief Whether any state is known: the log was read to its end, or a peer sent its state.
  [[nodiscard]] bool Ready() const { return m_follower.CaughtUp() || m_receivedFromPeer; }
  [[nodiscard]] bool LogReachable() const { return m_follower.Reachable(); }
  /// @brief Every record appended to the log before this time is known here. State received from
  /// peers does not advance it, since it carries no such time.
  [[nodiscard]] std::optional<base::TimePoint> CurrentAsOf() const
  {
    return m_follower.CurrentAsOf();
  }

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
