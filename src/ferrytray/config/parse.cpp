#include "ferrytray/config/parse.hpp"

#include <algorithm>  // for any_of
#include <functional> // for function
#include <map>        // for map
#include <set>        // for set

#include "ferrytray/config/yaml_reader.hpp" // for MappingReader

namespace ferrytray::config {

namespace {

constexpr double kMinRate = 1e-6;
constexpr std::size_t kSha256HexDigits = 64;

leaf::result<Model> ReadModel(MappingReader& aReader, const YAML::Node&)
{
  Model model;
  BOOST_LEAF_ASSIGN(model.m_name, aReader.Text("name"));
  BOOST_LEAF_ASSIGN(model.m_versions, aReader.Texts("versions"));
  return model;
}

leaf::result<PolicyWeights> ReadWeights(const YAML::Node& aNode, const std::string& aFile)
{
  PolicyWeights weights;
  if (!aNode.IsDefined()) {
    return weights;
  }
  MappingReader reader(aNode, "weights", aFile);
  BOOST_LEAF_CHECK(reader.CheckMapping());
  BOOST_LEAF_ASSIGN(weights.m_firstToken,
                    reader.NumberOr("first_token", weights.m_firstToken, kMinRate));
  BOOST_LEAF_ASSIGN(weights.m_recompute, reader.NumberOr("recompute", weights.m_recompute, 0));
  BOOST_LEAF_ASSIGN(weights.m_link, reader.NumberOr("link", weights.m_link, 0));
  BOOST_LEAF_ASSIGN(weights.m_firstTokenTarget,
                    reader.NumberOr("first_token_target", weights.m_firstTokenTarget, 0));
  BOOST_LEAF_CHECK(reader.CheckNoUnknownKeys());
  return weights;
}

leaf::result<std::uint32_t> ReadCount(MappingReader& aReader,
                                      const char* aKey,
                                      std::uint32_t aDefault)
{
  BOOST_LEAF_AUTO(number, aReader.CountOr(aKey, aDefault));
  return static_cast<std::uint32_t>(number);
}

leaf::result<Fleet> ReadFleet(MappingReader& aReader, const std::string& aFile)
{
  Fleet fleet;
  BOOST_LEAF_ASSIGN(fleet.m_name, aReader.Text("name"));
  BOOST_LEAF_ASSIGN(fleet.m_model, aReader.Text("model"));
  BOOST_LEAF_ASSIGN(fleet.m_version, aReader.Text("version"));
  BOOST_LEAF_ASSIGN(fleet.m_maxConcurrentSwaps,
                    ReadCount(aReader, "max_concurrent_swaps", fleet.m_maxConcurrentSwaps));
  BOOST_LEAF_ASSIGN(fleet.m_checksFencing, aReader.FlagOr("checks_fencing", fleet.m_checksFencing));
  BOOST_LEAF_ASSIGN(fleet.m_blockBytes, ReadCount(aReader, "block_bytes", fleet.m_blockBytes));
  BOOST_LEAF_ASSIGN(fleet.m_blockTokens, ReadCount(aReader, "block_tokens", fleet.m_blockTokens));
  BOOST_LEAF_ASSIGN(fleet.m_kvBytesPerToken,
                    ReadCount(aReader, "kv_bytes_per_token", fleet.m_kvBytesPerToken));
  BOOST_LEAF_ASSIGN(fleet.m_weights, ReadWeights(aReader.Child("weights"), aFile));
  return fleet;
}

leaf::result<Service> ReadService(MappingReader& aReader, const YAML::Node& aNode)
{
  Service service;
  BOOST_LEAF_ASSIGN(service.m_name, aReader.Text("name"));
  BOOST_LEAF_ASSIGN(service.m_pathPrefix, aReader.Text("path_prefix"));
  BOOST_LEAF_ASSIGN(service.m_idempotent, aReader.FlagOr("idempotent", service.m_idempotent));
  const bool reserved = service.m_pathPrefix.rfind("/v1", 0) == 0;
  if (service.m_pathPrefix.front() != '/' || service.m_pathPrefix.size() < 2 || reserved) {
    return aReader.Fail(base::ErrorCode::ConfigBadValue,
                        aNode["path_prefix"],
                        "'path_prefix' expects a path such as /catalogue, outside /v1");
  }
  return service;
}

bool IsSha256Hex(const std::string& aText)
{
  return aText.size() == kSha256HexDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

leaf::result<ClientAccount> ReadAccount(MappingReader& aReader, const YAML::Node& aNode)
{
  ClientAccount account;
  BOOST_LEAF_ASSIGN(account.m_name, aReader.Text("name"));
  BOOST_LEAF_ASSIGN(account.m_keyDigests, aReader.Texts("key_digests"));
  BOOST_LEAF_ASSIGN(account.m_requestsPerSecond,
                    aReader.NumberOr("requests_per_second", account.m_requestsPerSecond, kMinRate));
  BOOST_LEAF_ASSIGN(account.m_burst, aReader.NumberOr("burst", account.m_burst, 1));
  BOOST_LEAF_ASSIGN(account.m_maxConcurrent,
                    ReadCount(aReader, "max_concurrent", account.m_maxConcurrent));
  BOOST_LEAF_ASSIGN(account.m_weight, aReader.NumberOr("weight", account.m_weight, kMinRate));
  for (const std::string& digest : account.m_keyDigests) {
    if (!IsSha256Hex(digest)) {
      return aReader.Fail(
        base::ErrorCode::ConfigBadValue,
        aNode["key_digests"],
        "'key_digests' expects SHA-256 digests (64 lower-case hexadecimal digits), never a key");
    }
  }
  return account;
}

leaf::result<Owner> ReadOwner(MappingReader& aReader, const YAML::Node& aNode)
{
  BOOST_LEAF_AUTO(text, aReader.Text("owner"));
  static const std::map<std::string, Owner> kOwners{ { "here", Owner::Here },
                                                     { "handing-over", Owner::HandingOver },
                                                     { "there", Owner::There } };
  const auto found = kOwners.find(text);
  if (found == kOwners.end()) {
    return aReader.Fail(base::ErrorCode::ConfigBadValue,
                        aNode["owner"],
                        "'owner' expects here, handing-over or there, not '" + text + "'");
  }
  return found->second;
}

leaf::result<HalfRule> ReadRule(MappingReader& aReader, const YAML::Node& aNode)
{
  HalfRule rule;
  BOOST_LEAF_ASSIGN(rule.m_name, aReader.Text("name"));
  BOOST_LEAF_AUTO(fleet, aReader.TextOr("fleet", ""));
  BOOST_LEAF_AUTO(account, aReader.TextOr("account", ""));
  BOOST_LEAF_ASSIGN(rule.m_owner, ReadOwner(aReader, aNode));
  BOOST_LEAF_ASSIGN(rule.m_epoch, aReader.CountOr("epoch", 1));
  BOOST_LEAF_ASSIGN(rule.m_otherHalf, aReader.Text("other_half"));
  if (fleet.empty() == account.empty()) {
    return aReader.Fail(
      base::ErrorCode::ConfigBadValue, aNode, "expected exactly one of 'fleet' and 'account'");
  }
  if (!fleet.empty()) {
    rule.m_fleet = fleet;
  } else {
    rule.m_account = account;
  }
  return rule;
}

template<typename Item, typename ReadItem>
leaf::result<std::vector<Item>> ReadList(MappingReader& aTop,
                                         const std::string& aKey,
                                         const std::string& aFile,
                                         ReadItem aRead)
{
  std::vector<Item> items;
  const YAML::Node list = aTop.Child(aKey);
  if (!list.IsDefined()) {
    return items;
  }
  if (!list.IsSequence()) {
    return aTop.Fail(base::ErrorCode::ConfigBadValue, list, "'" + aKey + "' expects a list");
  }
  std::set<std::string> names;
  for (const auto& node : list) {
    MappingReader reader(node, aKey, aFile);
    BOOST_LEAF_CHECK(reader.CheckMapping());
    BOOST_LEAF_AUTO(item, aRead(reader, node));
    BOOST_LEAF_CHECK(reader.CheckNoUnknownKeys());
    if (!names.insert(item.m_name).second) {
      return reader.Fail(
        base::ErrorCode::ConfigDuplicate, node, "name '" + item.m_name + "' is defined twice");
    }
    items.push_back(std::move(item));
  }
  return items;
}

leaf::result<void> CheckSchema(MappingReader& aTop)
{
  BOOST_LEAF_AUTO(schema, aTop.Text("schema"));
  if (schema != std::to_string(kSchema)) {
    return aTop.Fail(base::ErrorCode::ConfigBadValue,
                     aTop.Child("schema"),
                     "expected schema: " + std::to_string(kSchema));
  }
  return {};
}

leaf::result<Document> ReadDocument(const YAML::Node& aRoot, const std::string& aFile)
{
  MappingReader top(aRoot, "file", aFile);
  BOOST_LEAF_CHECK(top.CheckMapping());
  BOOST_LEAF_CHECK(CheckSchema(top));
  Document document;
  BOOST_LEAF_ASSIGN(document.m_scope, top.Text("scope"));
  BOOST_LEAF_ASSIGN(document.m_models, ReadList<Model>(top, "models", aFile, ReadModel));
  BOOST_LEAF_ASSIGN(
    document.m_fleets,
    ReadList<Fleet>(top, "fleets", aFile, [&](MappingReader& aReader, const YAML::Node&) {
      return ReadFleet(aReader, aFile);
    }));
  BOOST_LEAF_ASSIGN(document.m_services, ReadList<Service>(top, "services", aFile, ReadService));
  BOOST_LEAF_ASSIGN(document.m_accounts,
                    ReadList<ClientAccount>(top, "accounts", aFile, ReadAccount));
  BOOST_LEAF_ASSIGN(document.m_rules, ReadList<HalfRule>(top, "rules", aFile, ReadRule));
  BOOST_LEAF_CHECK(top.CheckNoUnknownKeys());
  return document;
}

leaf::result<Document> ParseOrThrow(std::string_view aText, const std::string& aFile)
{
  if (aText.size() > kMaxFileBytes) {
    return leaf::new_error(Problem{ base::ErrorCode::ConfigTooLarge,
                                    aFile,
                                    1,
                                    1,
                                    "file has " + std::to_string(aText.size()) +
                                      " bytes; expected at most " +
                                      std::to_string(kMaxFileBytes) });
  }
  if (aText.find('\0') != std::string_view::npos) {
    return leaf::new_error(
      Problem{ base::ErrorCode::ConfigSyntax, aFile, 1, 1, "binary data; expected YAML text" });
  }
  return ReadDocument(YAML::Load(std::string(aText)), aFile);
}

Problem ProblemFromYaml(const YAML::Exception& aError, const std::string& aFile)
{
  const bool known = !aError.mark.is_null();
  return { base::ErrorCode::ConfigSyntax,
           aFile,
           known ? aError.mark.line + 1 : 1,
           known ? aError.mark.column + 1 : 1,
           "invalid YAML: " + aError.msg };
}

} // namespace

tl::expected<Document, Problems> Parse(std::string_view aText, const std::string& aFile)
{
  using Outcome = tl::expected<Document, Problems>;
  const auto fail = [](Problem aProblem) -> Outcome {
    return tl::unexpected(Problems{ std::move(aProblem) });
  };
  return leaf::try_handle_all(
    [&]() -> leaf::result<Outcome> {
      BOOST_LEAF_AUTO(document, ParseOrThrow(aText, aFile));
      return Outcome(std::move(document));
    },
    [&](Problem aProblem) { return fail(std::move(aProblem)); },
    [&](leaf::catch_<YAML::Exception> aCaught) {
      return fail(ProblemFromYaml(aCaught.matched, aFile));
    },
    [&] {
      return fail({ base::ErrorCode::ConfigSyntax, aFile, 1, 1, "unreadable" });
    });
}

std::string ToString(const Problem& aProblem)
{
  return aProblem.m_file + ":" + std::to_string(aProblem.m_line) + ":" +
         std::to_string(aProblem.m_column) + ": " + aProblem.m_message + " (error " +
         std::to_string(static_cast<int>(aProblem.m_code)) + ")";
}

} // namespace ferrytray::config
