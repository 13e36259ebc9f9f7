#pragma once

#include <functional> // for function
#include <optional>   // for optional
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/gate/gate_core.hpp"    // for GateCore
#include "ferrytray/routing/candidate.hpp" // for StoreView
#include "ferrytray/routing/retention.hpp" // for StorePressure

namespace ferrytray::gate {

/// @brief Blocks of a prompt that a store holds, and the state of the store.
struct StoreLookupResult
{
  std::string m_store;                      ///< name
  std::string m_address;                    ///< IP:PORT; empty if no store replied
  std::vector<std::uint64_t> m_generations; ///< one per stored block, from the first block on
  routing::StoreView m_view;
  routing::StorePressure m_pressure;
};

/// @brief Queries the context's home stores and selects the one with the most blocks.
/// @param aDone called once, within the lookup timeout
void LookupStores(GateCore& aCore,
                  const std::vector<base::Digest128>& aBlocks,
                  std::function<void(const StoreLookupResult&)> aDone);

/// @brief An import of stored blocks into an engine.
struct ImportRequest
{
  std::string m_engine; ///< IP:PORT
  StoreLookupResult m_storeLookup;
  std::vector<base::Digest128> m_blocks; ///< all blocks of the prompt
  std::uint32_t m_skip = 0;              ///< leading blocks that the engine has cached
  std::uint32_t m_count = 0;             ///< blocks to import after the skipped ones
};

/// @brief Imports blocks into an engine, then confirms that their generations are unchanged.
///
/// The engine stages the import under its own name and uses it only after the confirmation, so no
/// run uses a block that was freed or replaced while it was being copied.
/// @param aDone gets the import's name, or nothing if the blocks must be recomputed
void ImportBlocks(GateCore& aCore,
                  const ImportRequest& aRequest,
                  std::function<void(std::optional<std::string>)> aDone);

} // namespace ferrytray::gate
