#pragma once

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <optional> // for optional

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::limits {

struct AdmissionLimitOptions
{
  /// A request is slow when its answer has not begun after this part of its route's target: the
  /// limit has to act before targets are missed.
  double m_slowTargetFraction = 0.9;
  /// More slow requests than this among those of a window lower the limit.
  double m_maxSlowFraction = 0.4;
  double m_decreaseFactor = 0.9; ///< factor of the limit, or of what is open if that is less
  double m_increaseFactor =
    1.08;                ///< factor when there is no need to be lower and the limit is in use
  double m_minLimit = 2; ///< open requests that are always allowed
  base::Duration m_window = std::chrono::milliseconds(250);
  std::size_t m_minSamples = 4; ///< with fewer requests a window says nothing
};

/// @brief How many requests of one service this host keeps open, found from how late answers begin.
///
/// When endpoints are lost, what is left would answer everybody late; refusing at once what is too
/// much lets the others be on time. Hosts need not know of each other: each sees the same endpoints
/// get slow. Additive increase, multiplicative decrease.
class AdmissionLimit
{
public:
  explicit AdmissionLimit(AdmissionLimitOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief A request arrives. @return its number, or empty when it has to be refused
  /// @param aTarget its route's target from arrival until its answer begins
  std::optional<std::uint64_t> Admit(base::Duration aTarget, base::TimePoint aNow);
  /// @brief Its answer began.
  void OnAnswerStarted(std::uint64_t aRequest, base::TimePoint aNow);
  /// @brief It has ended in any way.
  void OnEnded(std::uint64_t aRequest);

  [[nodiscard]] std::size_t Open() const { return m_open.size(); }
  /// @brief The limit in force; empty while everything is admitted.
  [[nodiscard]] std::optional<double> Limit() const { return m_limit; }

private:
  struct Request
  {
    base::TimePoint m_slowAt;
    bool m_answerStarted = false;
    bool m_countedSlow = false; ///< as slow, in some window
  };

  void CountSlow(Request& aRequest);
  void CloseWindow(base::TimePoint aNow);

  AdmissionLimitOptions m_options;
  std::uint64_t m_lastId = 0;
  std::map<std::uint64_t, Request> m_open;
  std::optional<double> m_limit;
  std::optional<base::TimePoint> m_windowEnd;
  std::size_t m_slowCount = 0;
  std::size_t m_onTimeCount = 0;
  bool m_limitReached = false; ///< the limit was reached in this window
};

} // namespace ferrytray::limits
