#include "ferrytray/fleet/configuration_index.hpp"

#include <algorithm> // for sort
#include <utility>   // for move

namespace ferrytray::fleet {

ConfigurationIndex::ConfigurationIndex(Configuration aConfiguration)
  : m_configuration(std::move(aConfiguration))
{
  for (const Route& route : m_configuration.m_routes) {
    m_routesByHost[route.m_hostName].push_back(&route);
  }
  for (auto& [host, routes] : m_routesByHost) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* aLeft, const Route* aRight) {
      return aLeft->m_pathPrefix.size() > aRight->m_pathPrefix.size();
    });
  }
  for (const ClientAccount& account : m_configuration.m_accounts) {
    for (const std::string& key : account.m_keys) {
      m_accountsByKey[key] = &account;
    }
  }
  for (const Service& service : m_configuration.m_services) {
    m_servicesByName[service.m_name] = &service;
  }
}

const Route* ConfigurationIndex::FindRoute(std::string_view aHostName, std::string_view aPath) const
{
  const auto found = m_routesByHost.find(std::string(aHostName));
  if (found == m_routesByHost.end()) {
    return nullptr;
  }
  for (const Route* route : found->second) {
    if (aPath.starts_with(route->m_pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

const ClientAccount* ConfigurationIndex::FindAccount(const std::string& aKey) const
{
  const auto found = m_accountsByKey.find(aKey);
  return found == m_accountsByKey.end() ? nullptr : found->second;
}

const Service* ConfigurationIndex::FindService(const std::string& aName) const
{
  const auto found = m_servicesByName.find(aName);
  return found == m_servicesByName.end() ? nullptr : found->second;
}

} // namespace ferrytray::fleet
