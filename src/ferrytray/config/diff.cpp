#include "ferrytray/config/diff.hpp"

#include <map> // for map

namespace ferrytray::config {

namespace {

template<typename Item>
void DiffList(const std::vector<Item>& aBefore,
              const std::vector<Item>& aAfter,
              const std::string& aKind,
              std::vector<Change>& aChanges)
{
  std::map<std::string, const Item*> before;
  for (const Item& item : aBefore) {
    before.emplace(item.m_name, &item);
  }
  for (const Item& item : aAfter) {
    const auto found = before.find(item.m_name);
    if (found == before.end()) {
      aChanges.push_back({ ChangeKind::Added, aKind + " " + item.m_name });
      continue;
    }
    if (*found->second != item) {
      aChanges.push_back({ ChangeKind::Changed, aKind + " " + item.m_name });
    }
    before.erase(found);
  }
  for (const auto& [name, item] : before) {
    aChanges.push_back({ ChangeKind::Removed, aKind + " " + name });
  }
}

} // namespace

std::vector<Change> Diff(const Document& aBefore, const Document& aAfter)
{
  std::vector<Change> changes;
  DiffList(aBefore.m_models, aAfter.m_models, "model", changes);
  DiffList(aBefore.m_fleets, aAfter.m_fleets, "fleet", changes);
  DiffList(aBefore.m_services, aAfter.m_services, "service", changes);
  DiffList(aBefore.m_accounts, aAfter.m_accounts, "account", changes);
  DiffList(aBefore.m_rules, aAfter.m_rules, "rule", changes);
  return changes;
}

std::string ToString(const Change& aChange)
{
  switch (aChange.m_kind) {
    case ChangeKind::Added:
      return "+ " + aChange.m_object;
    case ChangeKind::Changed:
      return "~ " + aChange.m_object;
    case ChangeKind::Removed:
      break;
  }
  return "- " + aChange.m_object;
}

} // namespace ferrytray::config
