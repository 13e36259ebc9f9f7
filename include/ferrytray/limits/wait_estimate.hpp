#pragma once

#include <cstddef>  // for size_t
#include <deque>    // for deque
#include <optional> // for optional

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::limits {

/// @brief Estimates how long a request would wait for a slot behind those that wait already, from
/// the grants of the last second. Does no I/O.
class WaitEstimate
{
public:
  void OnGranted(base::TimePoint aNow)
  {
    m_grants.push_back(aNow);
    Expire(aNow);
  }
  /// @param aWaiting number of requests that wait already
  /// @return empty if no request was granted a slot lately
  [[nodiscard]] std::optional<base::Duration> Expected(std::size_t aWaiting, base::TimePoint aNow)
  {
    Expire(aNow);
    if (m_grants.empty()) {
      return std::nullopt;
    }
    return base::Duration(kWindow) * static_cast<base::Duration::rep>(aWaiting + 1) /
           static_cast<base::Duration::rep>(m_grants.size());
  }

private:
  static constexpr base::Duration kWindow = std::chrono::seconds(1);

  void Expire(base::TimePoint aNow)
  {
    while (!m_grants.empty() && m_grants.front() + kWindow <= aNow) {
      m_grants.pop_front();
    }
  }

  std::deque<base::TimePoint> m_grants;
};

} // namespace ferrytray::limits
