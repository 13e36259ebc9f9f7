#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint8_t
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::routing {

/// @brief Who decided that a request goes to a cold engine.
enum class ColdTrafficSource : std::uint8_t
{
  Own,      ///< the host that sends it
  Assigned, ///< the host that gives out the long prompts of the engine's zone
};

struct ColdStartOptions
{
  /// Hosts that may send to one cold engine by their own choice. Two, so that one of them may be
  /// gone; with all of them, each would have a permit every ten seconds, and all could use theirs
  /// at once.
  std::size_t m_sendersPerEngine = 2;
  /// Parts of the rate that a cold engine bears. What is left of its bound is for hosts that do not
  /// know yet that it is cold: their usual requests alone may be 0.8 of that rate.
  double m_ownRateShare = 0.3;
  double m_assignedRateShare = 0.2;
  /// An engine's word of its state is so old at most when it arrives: it writes every second or so,
  /// and the directory is read as often. A suspicion lasts so much longer than an engine is cold.
  base::Duration m_maxStateAge = std::chrono::milliseconds(2500);
  /// An engine that hosts used as warm until now gets nothing for so long after this host heard:
  /// the others hear of it up to m_maxStateAge apart and send what is usual until then.
  base::Duration m_holdTime = std::chrono::milliseconds(1000);
};

/// @brief Which engines are cold, and what this host may send them. Pure.
///
/// An engine that has just started bears a few requests a second in all and crashes beyond. No host
/// sees what the others send, and news of an engine's state is up to some seconds old. So each cold
/// engine has a few hosts that may send to it, each with a fixed part of what it bears and a pause
/// after each request; all others send nothing there until it is warm.
class ColdStarts
{
public:
  explicit ColdStarts(ColdStartOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief The engine said for how long it stays cold; its latest word counts.
  /// @param aRemaining zero: it is warm
  /// @param aIsNew no host has used it before
  void OnColdTimeReported(const std::string& aEngine,
                          base::Duration aRemaining,
                          bool aIsNew,
                          base::TimePoint aNow);
  /// @brief It may have started anew, whatever it said before: it was not reached, or nobody has
  /// sent it anything for long. What it says does not end this: its word may be older.
  /// @param aColdFor after a start
  void OnRestartSuspected(const std::string& aEngine,
                          base::Duration aColdFor,
                          base::TimePoint aNow);
  void Forget(const std::string& aEngine);

  [[nodiscard]] bool IsCold(const std::string& aEngine, base::TimePoint aNow) const;
  /// @brief Whether the pause after the last request of that kind is over.
  [[nodiscard]] bool MaySend(const std::string& aEngine,
                             ColdTrafficSource aSource,
                             base::TimePoint aNow) const;
  /// @param aColdRate requests a second that the engine bears while cold, of all hosts together
  void OnSent(const std::string& aEngine,
              ColdTrafficSource aSource,
              double aColdRate,
              base::TimePoint aNow);
  /// @brief Hosts that may send to one cold engine by their own choice.
  [[nodiscard]] std::size_t SendersPerEngine() const { return m_options.m_sendersPerEngine; }

private:
  struct Entry
  {
    base::TimePoint m_reportedColdUntil{};
    base::TimePoint m_suspectedColdUntil{};
    base::TimePoint m_nextOwn{};
    base::TimePoint m_nextAssigned{};
  };

  /// Nothing is sent for a while if it was warm until now.
  void HoldIfWarm(const std::string& aEngine, base::TimePoint aNow);

  ColdStartOptions m_options;
  std::unordered_map<std::string, Entry> m_engines;
};

} // namespace ferrytray::routing
