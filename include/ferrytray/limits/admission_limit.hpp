#pragma once

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <optional> // for optional

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::limits {

struct AdmissionLimitOptions
{
  /// A request is slow if its answer has not begun after this fraction of its route's target. Below
  /// 1 so that the limit acts before targets are missed.
  double m_slowTargetFraction = 0.9;
  /// The limit is decreased when a larger fraction of a window's requests is slow.
  double m_maxSlowFraction = 0.4;
  double m_decreaseFactor = 0.9;  ///< applied to the lower of the limit and the open requests
  double m_increaseFactor = 1.08; ///< applied, plus 1, when the limit was reached and few were slow
  double m_minLimit = 2;          ///< open requests that are always admitted
  base::Duration m_window = std::chrono::milliseconds(250);
  std::size_t m_minSamples = 4; ///< windows with fewer requests do not decrease the limit
};

/// @brief Adaptive limit on a host's open requests to one service, driven by the time until answers
/// begin.
///
/// When endpoints are lost, the remaining ones would answer every request late. Refusing the excess
/// immediately keeps the admitted requests on time. Hosts need no coordination, since each observes
/// the same endpoints slowing down. To decrease, the limit is multiplied by m_decreaseFactor; to
/// increase, it is multiplied by m_increaseFactor and raised by 1.
class AdmissionLimit
{
public:
  explicit AdmissionLimit(AdmissionLimitOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Admits or refuses a request. @return its id, or empty if it is refused
  /// @param aTarget the route's target time from arrival until the answer begins
  std::optional<std::uint64_t> Admit(base::Duration aTarget, base::TimePoint aNow);
  /// @brief The answer to an admitted request began.
  void OnAnswerStarted(std::uint64_t aRequest, base::TimePoint aNow);
  /// @brief An admitted request ended, with or without an answer.
  void OnEnded(std::uint64_t aRequest);

  [[nodiscard]] std::size_t Open() const { return m_open.size(); }
  /// @brief Returns the current limit; empty while every request is admitted.
  [[nodiscard]] std::optional<double> Limit() const { return m_limit; }

private:
  struct Request
  {
    base::TimePoint m_slowAt;
    bool m_answerStarted = false;
    bool m_countedSlow = false; ///< already counted as slow in a window
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
  bool m_limitReached = false; ///< a request was refused in this window
};

} // namespace ferrytray::limits
