#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for uint32_t
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/digest.hpp" // for Digest128

namespace ferrytray::blocks {

/// @brief What the name of a KV block depends on besides the prompt itself.
///
/// Another account's or weight version's block has another name, so isolation does not
/// rest on a check that a later change may forget.
struct BlockScope
{
  std::string_view m_account;
  std::string_view m_model;
  std::string_view m_weightVersion;
};

/// @brief How prompts are cut into blocks.
struct BlockLayout
{
  std::size_t m_bytesPerBlock = 1024;   ///< prompt bytes that one block covers
  std::uint32_t m_tokensPerBlock = 256; ///< tokens that one block covers
};

/// @brief Names the whole blocks of a prompt; a last, partial block has no name.
/// @param aScope account, model and weight version
/// @param aPrompt the whole prompt (bytes)
/// @param aLayout how it is cut
/// @return one chained digest a block: block i depends on blocks 0 to i
///
/// @code
/// auto names = blocks::ChainBlocks({"lab", "datasheet-7b", "3"}, prompt, {});
/// @endcode
std::vector<base::Digest128> ChainBlocks(const BlockScope& aScope,
                                         std::string_view aPrompt,
                                         const BlockLayout& aLayout);

} // namespace ferrytray::blocks
