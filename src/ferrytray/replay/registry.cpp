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
    RemoveFromIndexes(*slot);
  }
  slot = std::move(aDocument);
  AddToIndexes(*slot);
}

void Registry::RemoveFromIndexes(const config::Document& aDocument)
{
  for (const auto& account : aDocument.m_accounts) {
    for (const std::string& digest : account.m_keyDigests) {
      EraseIfSame(m_accountByKeyDigest, digest, &account);
    }
  }
  for (const auto& fleet : aDocument.m_fleets) {
    EraseIfSame(m_fleetByModel, fleet.m_model, &fleet);
  }
  for (const auto& service : aDocument.m_services) {
    EraseIfSame(m_serviceByPrefix, service.m_pathPrefix, &service);
  }
  for (const auto& rule : aDocument.m_rules) {
    EraseIfSame(m_ruleByFleet, rule.m_fleet.value_or(""), &rule);
    EraseIfSame(m_ruleByAccount, rule.m_account.value_or(""), &rule);
  }
}

void Registry::AddToIndexes(const config::Document& aDocument)
{
  // emplace: if two scopes concurrently defined the same name, the one applied first keeps it.
  for (const auto& account : aDocument.m_accounts) {
    for (const std::string& digest : account.m_keyDigests) {
      m_accountByKeyDigest.emplace(digest, &account);
    }
  }
  for (const auto& fleet : aDocument.m_fleets) {
    m_fleetByModel.emplace(fleet.m_model, &fleet);
  }
  for (const auto& service : aDocument.m_services) {
    m_serviceByPrefix.emplace(service.m_pathPrefix, &service);
  }
  for (const auto& rule : aDocument.m_rules) {
    if (rule.m_fleet) {
      m_ruleByFleet.emplace(*rule.m_fleet, &rule);
    }
    if (rule.m_account) {
      m_ruleByAccount.emplace(*rule.m_account, &rule);
    }
  }
}

const config::ClientAccount* Registry::AccountByKey(const std::string& aKeyDigest) const
{
  return FindOrNull(m_accountByKeyDigest, aKeyDigest);
}

const config::Fleet* Registry::FleetByModel(const std::string& aModel) const
{
  return FindOrNull(m_fleetByModel, aModel);
}

const config::Service* Registry::ServiceByPath(std::string_view aPath) const
{
  const config::Service* best = nullptr;
  for (const auto& [prefix, service] : m_serviceByPrefix) {
    const bool hasPrefix = aPath.substr(0, prefix.size()) == prefix;
    const bool atBoundary =
      aPath.size() == prefix.size() || aPath[std::min(prefix.size(), aPath.size() - 1)] == '/';
    if (hasPrefix && atBoundary) {
      best = service;
    }
  }
  return best;
}

const config::HalfRule* Registry::RuleForFleet(const std::string& aFleet) const
{
  return FindOrNull(m_ruleByFleet, aFleet);
}

const config::HalfRule* Registry::RuleForAccount(const std::string& aAccount) const
{
  return FindOrNull(m_ruleByAccount, aAccount);
}

std::vector<config::Document> Registry::OtherDocuments(const std::string& aScope) const
{
  std::vector<config::Document> documents;
  for (const auto& [name, document] : m_scopes) {
    if (name != aScope) {
      documents.push_back(*document);
    }
  }
  return documents;
}

std::vector<const config::Fleet*> Registry::Fleets() const
{
  std::vector<const config::Fleet*> fleets;
  fleets.reserve(m_fleetByModel.size());
  for (const auto& [model, fleet] : m_fleetByModel) {
    fleets.push_back(fleet);
  }
  return fleets;
}

std::vector<const config::HalfRule*> Registry::Rules() const
{
  std::vector<const config::HalfRule*> rules;
  for (const auto* index : { &m_ruleByFleet, &m_ruleByAccount }) {
    for (const auto& [key, rule] : *index) {
      rules.push_back(rule);
    }
  }
  return rules;
}

const config::Document* Registry::FindDocument(const std::string& aScope) const
{
  const auto found = m_scopes.find(aScope);
  return found == m_scopes.end() ? nullptr : found->second.get();
}

} // namespace ferrytray::replay
