#include "ferrytray/blocks/chain.hpp"

#include <set>    // for set
#include <string> // for string

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

namespace {

std::string Prompt(std::size_t aBytes, char aFill)
{
  return std::string(aBytes, aFill);
}

} // namespace

TEST_GROUP(Chain){};

TEST(Chain, NamesWholeBlocksOnly)
{
  const auto names = blocks::ChainBlocks({ "a", "m", "1" }, Prompt(2500, 'x'), {});
  LONGS_EQUAL(2, names.size());
}

TEST(Chain, EveryScopeFieldChangesEveryName)
{
  const std::string prompt = Prompt(2048, 'x');
  std::set<base::Digest128> uniqueNames;
  const blocks::BlockScope scopes[] = {
    { "a", "m", "1" }, { "b", "m", "1" }, { "a", "n", "1" },
    { "a", "m", "2" }, { "am", "", "1" }, { "", "am", "1" },
  };
  for (const auto& scope : scopes) {
    for (const auto& name : blocks::ChainBlocks(scope, prompt, {})) {
      uniqueNames.insert(name);
    }
  }
  LONGS_EQUAL(12, uniqueNames.size());
}

TEST(Chain, LaterBlocksDependOnEarlierOnes)
{
  const auto first =
    blocks::ChainBlocks({ "a", "m", "1" }, Prompt(1024, 'x') + Prompt(1024, 'z'), {});
  const auto second =
    blocks::ChainBlocks({ "a", "m", "1" }, Prompt(1024, 'y') + Prompt(1024, 'z'), {});
  CHECK(first[1] != second[1]);
}

TEST(Chain, ExtendedPromptKeepsPrefixNames)
{
  const bool holds =
    rc::check("prefix names", [](const std::string& aPrefix, const std::string& aSuffix) {
      const blocks::BlockLayout layout{ 8, 2 };
      const auto shorter = blocks::ChainBlocks({ "a", "m", "1" }, aPrefix, layout);
      const auto longer = blocks::ChainBlocks({ "a", "m", "1" }, aPrefix + aSuffix, layout);
      RC_ASSERT(shorter.size() <= longer.size());
      for (std::size_t i = 0; i < shorter.size(); ++i) {
        RC_ASSERT(shorter[i] == longer[i]);
      }
    });
  CHECK(holds);
}
