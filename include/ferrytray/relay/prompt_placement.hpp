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
  /// A part this long decides where a prompt runs; shorter ones are cheap to read again (tokens).
  std::uint32_t m_minHomePartTokens = 1000;
};

/// @brief Where prompts run and which cached parts they may find.
class PromptPlacement
{
public:
  explicit PromptPlacement(PromptPlacementOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief The text under which cached parts are found: none of another model, of other weights,
  /// or of another account if one of the two is isolated, ever has the same.
  [[nodiscard]] static std::string CacheScope(const std::string& aModel,
                                              fleet::WeightVersion aVersion,
                                              const fleet::ClientAccount* aAccount);

  /// @brief What decides a prompt's home.
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
