#include "ferrytray/blocks/chain.hpp"

namespace ferrytray::blocks {

namespace {

base::Digest128 ScopeSeed(const BlockScope& aScope)
{
  // Each field is hashed separately, since different scopes may have the same concatenation.
  base::Digest128 seed = base::HashWithSeed({}, aScope.m_account);
  seed = base::HashWithSeed(seed, aScope.m_model);
  return base::HashWithSeed(seed, aScope.m_weightVersion);
}

} // namespace

std::vector<base::Digest128> ChainBlocks(const BlockScope& aScope,
                                         std::string_view aPrompt,
                                         const BlockLayout& aLayout)
{
  std::vector<base::Digest128> names;
  names.reserve(aPrompt.size() / aLayout.m_bytesPerBlock);
  base::Digest128 previous = ScopeSeed(aScope);
  while (aPrompt.size() >= aLayout.m_bytesPerBlock) {
    previous = base::HashWithSeed(previous, aPrompt.substr(0, aLayout.m_bytesPerBlock));
    names.push_back(previous);
    aPrompt.remove_prefix(aLayout.m_bytesPerBlock);
  }
  return names;
}

} // namespace ferrytray::blocks
