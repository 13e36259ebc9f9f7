#pragma once

#include <map>     // for map
#include <set>     // for set
#include <string>  // for string
#include <utility> // for pair

namespace ferrytray::control {

/// @brief Endpoints that leave, by incarnation: the union of every sign of it.
///
/// The platform's list, a peer's report, the endpoint's own refusal and an operator's drain all
/// count, and none takes another back. A new incarnation starts clean.
class LeavingSet
{
public:
  void Add(const std::string& aEndpoint, const std::string& aIncarnation)
  {
    m_leaving.emplace(aEndpoint, aIncarnation);
  }

  [[nodiscard]] bool Contains(const std::string& aEndpoint, const std::string& aIncarnation) const
  {
    return m_leaving.contains({ aEndpoint, aIncarnation });
  }

  /// @brief Drops endpoints that the platform lists under another incarnation now.
  void Prune(const std::map<std::string, std::string>& aCurrent)
  {
    std::erase_if(m_leaving, [&](const auto& aPair) {
      const auto found = aCurrent.find(aPair.first);
      return found != aCurrent.end() && found->second != aPair.second;
    });
  }

  [[nodiscard]] const std::set<std::pair<std::string, std::string>>& All() const
  {
    return m_leaving;
  }

private:
  std::set<std::pair<std::string, std::string>> m_leaving;
};

} // namespace ferrytray::control
