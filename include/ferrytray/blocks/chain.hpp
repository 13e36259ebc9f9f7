#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for uint32_t
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/digest.hpp" // for Digest128

namespace ferrytray::blocks {

/// @brief Scope that is hashed into the names of KV blocks.
///
/// Blocks of different accounts or weight versions have different names, so isolation doesn't
/// depend on access checks that a later change could omit.
struct BlockScope
{
  std::string_view m_account;
  std::string_view m_model;
  std::string_view m_weightVersion;
};

/// @brief Size of a block.
struct BlockLayout
{
  std::size_t m_bytesPerBlock = 1024;   ///< prompt bytes that one block covers
  std::uint32_t m_tokensPerBlock = 256; ///< tokens that one block covers
};

/// @brief Computes the names of all complete blocks of a prompt; a partial last block has none.
/// @param aScope account, model and weight version
/// @param aPrompt the whole prompt (bytes)
/// @param aLayout block size
/// @return one chained digest per block; the digest of block i depends on blocks 0 to i
///
/// @code
/// auto names = blocks::ChainBlocks({"lab", "datasheet-7b", "3"}, prompt, {});
/// @endcode
std::vector<base::Digest128> ChainBlocks(const BlockScope& aScope,
                                         std::string_view aPrompt,
                                         const BlockLayout& aLayout);

} // namespace ferrytray::blocks
