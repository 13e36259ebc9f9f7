#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint8_t
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::routing {

/// @brief Who decided to send a request to a cold engine.
enum class ColdTrafficSource : std::uint8_t
{
  Own,      ///< the sending host itself
  Assigned, ///< the host that assigns the long prompts of the engine's zone
};

struct ColdStartOptions
{
  /// Hosts that may send to a cold engine on their own decision. Two tolerate the loss of one. If
  /// all hosts were allowed, each would get a permit every ten seconds, and all could use their
  /// permits at the same time.
  std::size_t m_sendersPerEngine = 2;
  /// Shares of the rate that a cold engine sustains. The rest is reserved for hosts that don't know
  /// yet that it is cold; their regular traffic alone may reach 0.8 of that rate.
  double m_ownRateShare = 0.3;
  double m_assignedRateShare = 0.2;
  /// Maximum age of an engine's state report on arrival: engines write about once a second, and the
  /// directory is read as often. The suspicion of a restart lasts this much longer than the cold
  /// phase.
  base::Duration m_maxStateAge = std::chrono::milliseconds(2500);
  /// Pause before the first request to an engine that was in use as warm. Other hosts may learn of
  /// the cold start up to m_maxStateAge later and send their regular traffic until then.
  base::Duration m_holdTime = std::chrono::milliseconds(1000);
};

/// @brief Tracks cold engines and limits the requests that this host sends them. Does no I/O.
///
/// An engine that has just started sustains only a few requests a second in total and crashes above
/// that rate. Hosts don't see each other's requests, and reports of an engine's state are up to a
/// few seconds old. So only a few hosts may send to a cold engine, each at a fixed share of the
/// sustained rate with a pause after each request; all others wait until it is warm.
class ColdStarts
{
public:
  explicit ColdStarts(ColdStartOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief The engine reported how long it stays cold. The latest report applies.
  /// @param aRemaining zero if it is warm
  /// @param aIsNew whether no host has used the engine before
  void OnColdTimeReported(const std::string& aEngine,
                          base::Duration aRemaining,
                          bool aIsNew,
                          base::TimePoint aNow);
  /// @brief The engine may have restarted, because it was unreachable or has had no requests for
  /// long. Reports don't end the suspicion, since they may be older than the restart.
  /// @param aColdFor duration of the cold phase after a start
  void OnRestartSuspected(const std::string& aEngine,
                          base::Duration aColdFor,
                          base::TimePoint aNow);
  void Forget(const std::string& aEngine);

  [[nodiscard]] bool IsCold(const std::string& aEngine, base::TimePoint aNow) const;
  /// @brief Whether the pause after the last request from this source is over.
  [[nodiscard]] bool MaySend(const std::string& aEngine,
                             ColdTrafficSource aSource,
                             base::TimePoint aNow) const;
  /// @param aColdRate requests a second, from all hosts together, that the engine sustains while
  /// cold
  void OnSent(const std::string& aEngine,
              ColdTrafficSource aSource,
              double aColdRate,
              base::TimePoint aNow);
  /// @brief Number of hosts that may send to a cold engine on their own decision.
  [[nodiscard]] std::size_t SendersPerEngine() const { return m_options.m_sendersPerEngine; }

private:
  struct Entry
  {
    base::TimePoint m_reportedColdUntil{};
    base::TimePoint m_suspectedColdUntil{};
    base::TimePoint m_nextOwn{};
    base::TimePoint m_nextAssigned{};
  };

  /// Starts the hold time if the engine was considered warm until now.
  void HoldIfWarm(const std::string& aEngine, base::TimePoint aNow);

  ColdStartOptions m_options;
  std::unordered_map<std::string, Entry> m_engines;
};

} // namespace ferrytray::routing
