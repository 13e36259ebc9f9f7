#pragma once

#include <map>     // for map
#include <set>     // for set
#include <string>  // for string
#include <utility> // for pair

namespace ferrytray::control {

/// @brief Set of endpoint incarnations that are leaving, merged from all sources.
///
/// Sources are the platform's list, peers' reports, the endpoint's own refusal and an operator's
/// drain. No source can revoke another's entry. A new incarnation is not leaving.
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

  /// @brief Removes endpoints that the platform now lists under another incarnation.
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
