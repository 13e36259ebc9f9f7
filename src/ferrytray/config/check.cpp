#include "ferrytray/config/parse.hpp"

#include <set> // for set

namespace ferrytray::config {

namespace {

/// Collects the problems of a document in the context of the other scopes.
class ScopeChecker
{
public:
  ScopeChecker(const std::vector<Document>& aOthers, std::string aFile)
    : m_others(aOthers)
    , m_file(std::move(aFile))
  {
  }

  /// Reports every value of the document, such as a name, that it repeats or that another scope
  /// uses.
  template<typename List, typename Value>
  void CheckUnique(const Document& aDocument, List aList, Value aValue, const std::string& aKind)
  {
    std::set<std::string> seen;
    for (const Document& other : m_others) {
      for (const auto& item : other.*aList) {
        Insert(seen, aValue(item));
      }
    }
    for (const auto& item : aDocument.*aList) {
      for (const std::string& value : aValue(item)) {
        if (!seen.insert(value).second) {
          Add(base::ErrorCode::ConfigDuplicate, aKind + " '" + value + "' is already defined");
        }
      }
    }
  }

  void Add(base::ErrorCode aCode, std::string aMessage)
  {
    m_problems.push_back({ aCode, m_file, 1, 1, std::move(aMessage) });
  }

  Problems Take() { return std::move(m_problems); }

private:
  static void Insert(std::set<std::string>& aSet, const std::vector<std::string>& aValues)
  {
    aSet.insert(aValues.begin(), aValues.end());
  }

  const std::vector<Document>& m_others;
  std::string m_file;
  Problems m_problems;
};

template<typename Item>
std::vector<std::string> NameOf(const Item& aItem)
{
  return { aItem.m_name };
}

template<typename List>
std::set<std::string> NamesOf(const Document& aDocument,
                              const std::vector<Document>& aOthers,
                              List aList)
{
  std::set<std::string> names;
  for (const auto& item : aDocument.*aList) {
    names.insert(item.m_name);
  }
  for (const Document& other : aOthers) {
    for (const auto& item : other.*aList) {
      names.insert(item.m_name);
    }
  }
  return names;
}

void CheckFleets(const Document& aDocument,
                 const std::vector<Document>& aOthers,
                 ScopeChecker& aChecker)
{
  std::set<std::string> versions;
  const auto collect = [&](const Document& aSource) {
    for (const Model& model : aSource.m_models) {
      for (const std::string& version : model.m_versions) {
        versions.insert(model.m_name + "@" + version);
      }
    }
  };
  collect(aDocument);
  for (const Document& other : aOthers) {
    collect(other);
  }
  for (const Fleet& fleet : aDocument.m_fleets) {
    if (!versions.contains(fleet.m_model + "@" + fleet.m_version)) {
      aChecker.Add(base::ErrorCode::ConfigDanglingReference,
                   "fleet '" + fleet.m_name + "' refers to model '" + fleet.m_model +
                     "' version '" + fleet.m_version + "', which is not listed by any model");
    }
  }
}

void CheckRules(const Document& aDocument,
                const std::vector<Document>& aOthers,
                ScopeChecker& aChecker)
{
  const auto fleets = NamesOf(aDocument, aOthers, &Document::m_fleets);
  const auto accounts = NamesOf(aDocument, aOthers, &Document::m_accounts);
  for (const HalfRule& rule : aDocument.m_rules) {
    const bool fleetExists = !rule.m_fleet || fleets.contains(*rule.m_fleet);
    const bool accountExists = !rule.m_account || accounts.contains(*rule.m_account);
    if (!fleetExists || !accountExists) {
      aChecker.Add(base::ErrorCode::ConfigDanglingReference,
                   "rule '" + rule.m_name + "' refers to a fleet or account that does not exist");
    }
  }
}

} // namespace

Problems CheckAcrossScopes(const Document& aDocument,
                           const std::vector<Document>& aOthers,
                           const std::string& aFile)
{
  ScopeChecker checker(aOthers, aFile);
  checker.CheckUnique(aDocument, &Document::m_models, NameOf<Model>, "model");
  checker.CheckUnique(aDocument, &Document::m_fleets, NameOf<Fleet>, "fleet");
  checker.CheckUnique(aDocument, &Document::m_services, NameOf<Service>, "service");
  checker.CheckUnique(aDocument, &Document::m_accounts, NameOf<ClientAccount>, "account");
  checker.CheckUnique(aDocument, &Document::m_rules, NameOf<HalfRule>, "rule");
  const auto keys = [](const ClientAccount& aAccount) { return aAccount.m_keyDigests; };
  checker.CheckUnique(aDocument, &Document::m_accounts, keys, "key digest");
  CheckFleets(aDocument, aOthers, checker);
  CheckRules(aDocument, aOthers, checker);
  return checker.Take();
}

} // namespace ferrytray::config
