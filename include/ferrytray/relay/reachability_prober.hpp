#pragma once

#include <cstddef>    // for size_t
#include <functional> // for function
#include <string>     // for string
#include <utility>    // for move
#include <vector>     // for vector

#include "ferrytray/net/loop.hpp"             // for TimerHandle
#include "ferrytray/relay/relay_core.hpp"     // for RelayCore
#include "ferrytray/routing/reachability.hpp" // for Reachability

namespace ferrytray::relay {

struct ReachabilityProberOptions
{
  base::Duration m_checkInterval = std::chrono::milliseconds(50);
  /// Between two rounds of probes while connects fail.
  base::Duration m_probeInterval = std::chrono::milliseconds(250);
  /// The same while endpoints are only silent: some answers take longer than others.
  base::Duration m_silenceProbeInterval = std::chrono::milliseconds(1000);
  /// Endpoints per round, of different availability zones if possible.
  std::size_t m_endpointsPerRound = 3;
};

/// @brief Opens connections to some endpoints while it is unknown whether this host can reach any,
/// and closes them at once. No request is sent for that.
class ReachabilityProber
{
public:
  explicit ReachabilityProber(RelayCore& aCore, ReachabilityProberOptions aOptions = {});
  void Start();
  /// @brief Sets the function that is called after each change of the state.
  void OnStateChange(std::function<void(routing::Reachability)> aCall)
  {
    m_onStateChange = std::move(aCall);
  }
  void Stop() { m_timer.reset(); }

private:
  void Check();
  /// @param aCount maximum number of endpoints
  void Probe(std::size_t aCount);
  void OnProbed(const std::string& aIncarnation,
                const std::string& aZone,
                const net::ClientOutcome& aOutcome);
  void UpdateState(base::TimePoint aNow);

  RelayCore& m_core;
  ReachabilityProberOptions m_options;
  std::function<void(routing::Reachability)> m_onStateChange;
  net::TimerHandle m_timer;
  base::TimePoint m_nextProbeAt{};
  std::size_t m_probes = 0;
  routing::Reachability m_lastState = routing::Reachability::Reachable;
};

/// @brief Returns how many endpoints the directory lists, and in how many availability zones.
[[nodiscard]] routing::ListedEndpoints CountListed(const fleet::Directory& aDirectory);

/// @brief Selects endpoints at random that may get requests, of as many availability zones as
/// possible.
[[nodiscard]] std::vector<const fleet::Endpoint*> PickFromDifferentZones(RelayCore& aCore,
                                                                         std::size_t aCount);

} // namespace ferrytray::relay
