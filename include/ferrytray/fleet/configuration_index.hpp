#pragma once

#include <memory>        // for shared_ptr
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/fleet/configuration.hpp" // for Configuration

namespace ferrytray::fleet {

/// @brief Index for lookups in one version of the configuration.
class ConfigurationIndex
{
public:
  explicit ConfigurationIndex(Configuration aConfiguration);
  ConfigurationIndex(const ConfigurationIndex&) = delete;
  ConfigurationIndex& operator=(const ConfigurationIndex&) = delete;

  [[nodiscard]] const Configuration& Get() const { return m_configuration; }
  /// @brief Returns the route of that host name with the longest matching path prefix; null if
  /// none.
  [[nodiscard]] const Route* FindRoute(std::string_view aHostName, std::string_view aPath) const;
  /// @brief Returns the account that owns an API key; null if none.
  [[nodiscard]] const ClientAccount* FindAccount(const std::string& aKey) const;
  [[nodiscard]] const Service* FindService(const std::string& aName) const;

private:
  Configuration m_configuration;
  /// Longest path prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> m_routesByHost;
  std::unordered_map<std::string, const ClientAccount*> m_accountsByKey;
  std::unordered_map<std::string, const Service*> m_servicesByName;
};

using ConfigurationPtr = std::shared_ptr<const ConfigurationIndex>;

} // namespace ferrytray::fleet
