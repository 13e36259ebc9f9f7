#pragma once

#include <map>    // for map
#include <string> // for string

#include "ferrytray/base/time.hpp"       // for Duration, TimePoint
#include "ferrytray/fleet/directory.hpp" // for WeightVersion

namespace ferrytray::fleet {

/// @brief When the operators named each version of weights, and which versions are too old to start
/// a request on. Does no I/O.
///
/// A roll-out moves engines to new weights. If it is late, requests must not start on weights that
/// should no longer be in use.
class NamedWeightsHistory
{
public:
  /// @param aGracePeriod how long requests may start on older weights after new ones were named
  explicit NamedWeightsHistory(base::Duration aGracePeriod)
    : m_gracePeriod(aGracePeriod)
  {
  }

  void OnNamed(const std::string& aModel, WeightVersion aVersion, base::TimePoint aAt)
  {
    m_named[aModel].try_emplace(aVersion, aAt);
  }

  /// @brief Returns the oldest weights that a request may still start on; zero: any.
  [[nodiscard]] WeightVersion OldestAllowed(const std::string& aModel, base::TimePoint aNow) const
  {
    const auto model = m_named.find(aModel);
    WeightVersion oldest = 0;
    if (model != m_named.end()) {
      for (const auto& [version, namedAt] : model->second) {
        oldest = aNow >= namedAt + m_gracePeriod ? version : oldest;
      }
    }
    return oldest;
  }

private:
  base::Duration m_gracePeriod;
  std::map<std::string, std::map<WeightVersion, base::TimePoint>> m_named; ///< by model
};

} // namespace ferrytray::fleet
