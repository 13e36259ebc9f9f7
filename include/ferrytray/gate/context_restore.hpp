#pragma once

#include <functional> // for function
#include <optional>   // for optional
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/gate/gate_core.hpp"    // for GateCore
#include "ferrytray/routing/candidate.hpp" // for StoreView
#include "ferrytray/routing/keep.hpp"      // for StorePressure

namespace ferrytray::gate {

/// @brief What a store has of a prompt.
struct StoreLookupResult
{
  std::string m_store;                      ///< name
  std::string m_address;                    ///< IP:PORT; empty when no store answered
  std::vector<std::uint64_t> m_generations; ///< one for each stored block, from the first on
  routing::StoreView m_view;
  routing::StorePressure m_pressure;
};

/// @brief Asks the context's home stores what they have; gives the best answer.
/// @param aDone called once, within the lookup timeout
void LookupStores(GateCore& aCore,
                  const std::vector<base::Digest128>& aBlocks,
                  std::function<void(const StoreLookupResult&)> aDone);

/// @brief An import into an engine.
struct ImportRequest
{
  std::string m_engine; ///< IP:PORT
  StoreLookupResult m_storeLookup;
  std::vector<base::Digest128> m_blocks; ///< the prompt's
  std::uint32_t m_skip = 0;              ///< blocks that the engine has already
  std::uint32_t m_count = 0;             ///< blocks to import after those
};

/// @brief Has an engine import blocks, then confirms that their generations are unchanged.
///
/// The import waits under its own name and is used only if the confirmation comes, so no run ever
/// uses a block that was freed or replaced while it was being copied.
/// @param aDone gets the import's name, or nothing: then recompute
void ImportBlocks(GateCore& aCore,
                  const ImportRequest& aRequest,
                  std::function<void(std::optional<std::string>)> aDone);

} // namespace ferrytray::gate
