#pragma once

#include <cstddef>       // for size_t
#include <map>           // for map
#include <memory>        // for shared_ptr
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/config/document.hpp" // for Document

namespace ferrytray::replay {

/// @brief Indexes the configuration in force by what requests carry: bearer key, model or path.
///
/// The cost of replacing a scope depends only on the size of that scope.
class Registry
{
public:
  using DocumentPtr = std::shared_ptr<const config::Document>;

  /// @brief Replaces the content of one scope.
  void Put(DocumentPtr aDocument);

  /// @param aKeyDigest SHA-256 of a bearer key, hexadecimal
  /// @return the account, or null if no account has that key
  [[nodiscard]] const config::ClientAccount* AccountByKey(const std::string& aKeyDigest) const;
  [[nodiscard]] const config::Fleet* FleetByModel(const std::string& aModel) const;
  /// @brief Returns the service with the longest matching path prefix, or null.
  [[nodiscard]] const config::Service* ServiceByPath(std::string_view aPath) const;
  [[nodiscard]] const config::HalfRule* RuleForFleet(const std::string& aFleet) const;
  [[nodiscard]] const config::HalfRule* RuleForAccount(const std::string& aAccount) const;
  [[nodiscard]] std::vector<config::Document> OtherDocuments(const std::string& aScope) const;
  [[nodiscard]] std::vector<const config::Fleet*> Fleets() const;
  [[nodiscard]] std::vector<const config::HalfRule*> Rules() const;
  [[nodiscard]] const config::Document* FindDocument(const std::string& aScope) const;
  [[nodiscard]] std::size_t AccountCount() const { return m_accountByKeyDigest.size(); }

private:
  void RemoveFromIndexes(const config::Document& aDocument);
  void AddToIndexes(const config::Document& aDocument);

  std::map<std::string, DocumentPtr> m_scopes;
  std::unordered_map<std::string, const config::ClientAccount*> m_accountByKeyDigest;
  std::map<std::string, const config::Fleet*> m_fleetByModel;
  std::map<std::string, const config::Service*> m_serviceByPrefix;
  std::map<std::string, const config::HalfRule*> m_ruleByFleet;
  std::map<std::string, const config::HalfRule*> m_ruleByAccount;
};

} // namespace ferrytray::replay
