#include "ferrytray/config/parse.hpp"

#include "ferrytray/config/diff.hpp" // for Diff

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using base::ErrorCode;

namespace {

const std::string kDigest(64, 'a');

const std::string kValidFile = R"(schema: 1
scope: materials
models:
  - name: datasheet
    versions: ["1", "2"]
fleets:
  - name: lab
    model: datasheet
    version: "1"
    weights: {first_token: 1, recompute: 2, link: 0.5}
services:
  - name: catalogue
    path_prefix: /catalogue
accounts:
  - name: procurement
    key_digests: [)" + kDigest +
                               R"(]
    requests_per_second: 5
rules:
  - name: move-lab
    fleet: lab
    owner: here
    other_half: http://10.9.0.1:8080
)";

ErrorCode CodeOf(const std::string& aText)
{
  const auto parsed = config::Parse(aText, "f.yaml");
  CHECK_FALSE(parsed.has_value());
  return parsed.error().front().m_code;
}

} // namespace

TEST_GROUP(ConfigParse){};

TEST(ConfigParse, ReadsAllSections)
{
  const auto parsed = config::Parse(kValidFile, "f.yaml");
  CHECK(parsed.has_value());
  DOUBLES_EQUAL(2, parsed->m_fleets.front().m_weights.m_recompute, 0);
  STRCMP_EQUAL("lab", parsed->m_rules.front().m_fleet->c_str());
  CHECK(config::CheckAcrossScopes(*parsed, {}, "f.yaml").empty());
}

TEST(ConfigParse, ReportsPositionAndExpectedValue)
{
  const auto parsed =
    config::Parse("schema: 1\nscope: a\nfleets:\n  - name: x\n    modle: y\n", "f.yaml");
  STRCMP_EQUAL("f.yaml:4:5: fleets: key 'model' is missing (error 7003)",
               config::ToString(parsed.error().front()).c_str());
  const auto unknown = config::Parse("schema: 1\nscope: a\nflets: []\n", "f.yaml");
  STRCMP_EQUAL("f.yaml:3:1: file: unknown key 'flets'; expected one of: accounts, fleets, models, "
               "rules, schema, scope, services (error 7002)",
               config::ToString(unknown.error().front()).c_str());
}

TEST(ConfigParse, RejectsInvalidFiles)
{
  const std::string head = "schema: 1\nscope: a\n";
  CHECK(CodeOf(head + "accounts: [{name: a, key_digests: [x]}]") == ErrorCode::ConfigBadValue);
  CHECK(CodeOf(head + "accounts: [{name: a, key_digests: [" + kDigest + "], max_concurrent: 0}]") ==
        ErrorCode::ConfigBadValue);
  CHECK(CodeOf(head + "models: [{name: a, versions: [b]}, {name: a, versions: [b]}]") ==
        ErrorCode::ConfigDuplicate);
  CHECK(CodeOf(head + "scope: b\n") == ErrorCode::ConfigDuplicate);
  CHECK(CodeOf("schema: 2\nscope: a\n") == ErrorCode::ConfigBadValue);
  CHECK(CodeOf("schema: [\n") == ErrorCode::ConfigSyntax);
  CHECK(CodeOf(std::string("schema: 1\0", 10)) == ErrorCode::ConfigSyntax);
  CHECK(CodeOf(std::string(config::kMaxFileBytes + 1, 'x')) == ErrorCode::ConfigTooLarge);
  CHECK(CodeOf("- 1\n") == ErrorCode::ConfigBadValue);
  CHECK(CodeOf(head + "services: [{name: s, path_prefix: /v1/x}]") == ErrorCode::ConfigBadValue);
}

TEST(ConfigParse, FindsDuplicatesAndDanglingReferencesAcrossScopes)
{
  const auto base = config::Parse(kValidFile, "f.yaml").value();
  auto other = base;
  other.m_scope = "other";
  const auto duplicates = config::CheckAcrossScopes(base, { other }, "f.yaml");
  CHECK(duplicates.front().m_code == ErrorCode::ConfigDuplicate);
  auto dangling = base;
  dangling.m_fleets.front().m_version = "9";
  const auto problems = config::CheckAcrossScopes(dangling, {}, "f.yaml");
  CHECK(problems.front().m_code == ErrorCode::ConfigDanglingReference);
}

TEST(ConfigParse, SurvivesMutatedInput)
{
  const bool holds = rc::check("mutated files", [] {
    std::string text = kValidFile;
    const int edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i) {
      text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    const auto parsed = config::Parse(text, "f.yaml");
    RC_ASSERT(parsed.has_value() || !parsed.error().empty());
  });
  CHECK(holds);
}

TEST(ConfigParse, DiffListsChangedObjects)
{
  const auto before = config::Parse(kValidFile, "f.yaml").value();
  auto after = before;
  after.m_accounts.front().m_weight = 3;
  after.m_services.clear();
  after.m_models.push_back({ "new", { "1" } });
  const auto changes = config::Diff(before, after);
  LONGS_EQUAL(3, changes.size());
  STRCMP_EQUAL("+ model new", config::ToString(changes[0]).c_str());
  STRCMP_EQUAL("- service catalogue", config::ToString(changes[1]).c_str());
  STRCMP_EQUAL("~ account procurement", config::ToString(changes[2]).c_str());
}
