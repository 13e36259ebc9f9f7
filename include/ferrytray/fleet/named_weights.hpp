#pragma once

#include <map>    // for map
#include <string> // for string

#include "ferrytray/base/time.hpp"       // for Duration, TimePoint
#include "ferrytray/fleet/directory.hpp" // for WeightVersion

namespace ferrytray::fleet {

/// @brief Which weights were named when, and which are too old to begin a request on. Pure.
///
/// A roll-out brings engines to new weights; one that is late must not make requests begin on
/// weights that should be gone by then.
class NamedWeightsHistory
{
public:
  /// @param aGracePeriod for so long after new weights were named, requests may begin on older ones
  explicit NamedWeightsHistory(base::Duration aGracePeriod)
    : m_gracePeriod(aGracePeriod)
  {
  }

  void OnNamed(const std::string& aModel, WeightVersion aVersion, base::TimePoint aAt)
  {
    m_named[aModel].try_emplace(aVersion, aAt);
  }

  /// @brief The oldest weights that a request may still begin on; zero: any.
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
