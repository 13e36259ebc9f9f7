#pragma once

#include <cstdint>  // for uint32_t
#include <optional> // for optional
#include <span>     // for span
#include <string>   // for string

#include "ferrytray/fleet/configuration.hpp"  // for ClientAccount
#include "ferrytray/fleet/directory.hpp"      // for Endpoint, WeightVersion
#include "ferrytray/relay/caller_request.hpp" // for Prompt
#include "ferrytray/routing/placement.hpp"    // for PlacementCandidate, PlacementOptions

namespace ferrytray::relay {

struct PromptPlacementOptions
{
  routing::PlacementOptions m_homes;
  /// The first part with at least this many tokens determines a prompt's home; shorter parts are
  /// cheap to recompute.
  std::uint32_t m_minHomePartTokens = 1000;
};

/// @brief Selects the engine and the cache scope of prompts.
class PromptPlacement
{
public:
  explicit PromptPlacement(PromptPlacementOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief The scope under which cached parts are stored. Scopes differ between models, between
  /// weight versions, and between two accounts of which at least one is isolated.
  [[nodiscard]] static std::string CacheScope(const std::string& aModel,
                                              fleet::WeightVersion aVersion,
                                              const fleet::ClientAccount* aAccount);

  /// @brief The key that determines a prompt's home engines.
  [[nodiscard]] std::string HomeKey(const Prompt& aPrompt,
                                    const fleet::ClientAccount* aAccount) const;

  [[nodiscard]] std::optional<routing::Placement> Place(
    const Prompt& aPrompt,
    const fleet::ClientAccount* aAccount,
    std::span<const routing::PlacementCandidate> aCandidates) const;

private:
  PromptPlacementOptions m_options;
};

} // namespace ferrytray::relay
