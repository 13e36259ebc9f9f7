#include "ferrytray/replay/registry.hpp"

#include <algorithm> // for min

namespace ferrytray::replay {

namespace {

template<typename Map, typename Key, typename Item>
void EraseIfSame(Map& aMap, const Key& aKey, const Item* aItem)
{
  const auto found = aMap.find(aKey);
  if (found != aMap.end() && found->second == aItem) {
    aMap.erase(found);
  }
}

template<typename Map>
typename Map::mapped_type FindOrNull(const Map& aMap, const std::string& aKey)
{
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? nullptr : found->second;
}

} // namespace

void Registry::Put(DocumentPtr aDocument)
{
  DocumentPtr& slot = m_scopes[aDocument->m_scope];
  if (slot) {
    Unlink(*slot);
  }
  slot = std::move(aDocument);
  Link(*slot);
}

void Registry::Unlink(const config::Document& aDocument)
{
  for (const auto& account : aDocument.m_accounts) {
    for (const std::string& digest : account.m_keyDigests) {
      EraseIfSame(m_byKey, digest, &account);
    }
  }
  for (const auto& fleet : aDocument.m_fleets) {
    EraseIfSame(m_byModel, fleet.m_model, &fleet);
  }
  for (const auto& service : aDocument.m_services) {
    EraseIfSame(m_byPrefix, service.m_pathPrefix, &service);
  }
  for (const auto& rule : aDocument.m_rules) {
    EraseIfSame(m_fleetRules, rule.m_fleet.value_or(""), &rule);
    EraseIfSame(m_accountRules, rule.m_account.value_or(""), &rule);
  }
}

void Registry::Link(const config::Document& aDocument)
{
  // emplace: where two scopes raced with one name, the one in force first keeps it.
  for (const auto& account : aDocument.m_accounts) {
    for (const std::string& digest : account.m_keyDigests) {
      m_byKey.emplace(digest, &account);
    }
  }
  for (const auto& fleet : aDocument.m_fleets) {
    m_byModel.emplace(fleet.m_model, &fleet);
  }
  for (const auto& service : aDocument.m_services) {
    m_byPrefix.emplace(service.m_pathPrefix, &service);
  }
  for (const auto& rule : aDocument.m_rules) {
    if (rule.m_fleet) {
      m_fleetRules.emplace(*rule.m_fleet, &rule);
    }
    if (rule.m_account) {
      m_accountRules.emplace(*rule.m_account, &rule);
    }
  }
}

const config::ClientAccount* Registry::AccountByKey(const std::string& aKeyDigest) const
{
  return FindOrNull(m_byKey, aKeyDigest);
}

const config::Fleet* Registry::FleetByModel(const std::string& aModel) const
{
  return FindOrNull(m_byModel, aModel);
}

const config::Service* Registry::ServiceByPath(std::string_view aPath) const
{
  const config::Service* best = nullptr;
  for (const auto& [prefix, service] : m_byPrefix) {
    const bool starts = aPath.substr(0, prefix.size()) == prefix;
    const bool atBoundary =
      aPath.size() == prefix.size() || aPath[std::min(prefix.size(), aPath.size() - 1)] == '/';
    if (starts && atBoundary) {
      best = service;
    }
  }
  return best;
}

const config::HalfRule* Registry::RuleForFleet(const std::string& aFleet) const
{
  return FindOrNull(m_fleetRules, aFleet);
}

const config::HalfRule* Registry::RuleForAccount(const std::string& aAccount) const
{
  return FindOrNull(m_accountRules, aAccount);
}

std::vector<config::Document> Registry::Others(const std::string& aScope) const
{
  std::vector<config::Document> others;
  for (const auto& [name, document] : m_scopes) {
    if (name != aScope) {
      others.push_back(*document);
    }
  }
  return others;
}

std::vector<const config::Fleet*> Registry::Fleets() const
{
  std::vector<const config::Fleet*> fleets;
  fleets.reserve(m_byModel.size());
  for (const auto& [model, fleet] : m_byModel) {
    fleets.push_back(fleet);
  }
  return fleets;
}

std::vector<const config::HalfRule*> Registry::Rules() const
{
  std::vector<const config::HalfRule*> rules;
  for (const auto* index : { &m_fleetRules, &m_accountRules }) {
    for (const auto& [covered, rule] : *index) {
      rules.push_back(rule);
    }
  }
  return rules;
}

const config::Document* Registry::Scope(const std::string& aScope) const
{
  const auto found = m_scopes.find(aScope);
  return found == m_scopes.end() ? nullptr : found->second.get();
}

} // namespace ferrytray::replay
