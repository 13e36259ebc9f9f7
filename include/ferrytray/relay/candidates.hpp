#pragma once

#include <cstdint>     // for uint32_t
#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/relay/relay_core.hpp"  // for RelayCore
#include "ferrytray/routing/placement.hpp" // for PlacementCandidate

namespace ferrytray::relay {

/// @brief What a prompt asks of an engine.
struct PromptNeeds
{
  std::string_view m_model;
  std::uint32_t m_tokens = 0; ///< of the whole prompt
};

/// @brief Endpoints that a request may go to, and what is known of each; of equal size.
struct Candidates
{
  std::vector<const fleet::Endpoint*> m_endpoints;
  std::vector<routing::PlacementCandidate> m_places;
};

/// @param aService null: nothing is declared of it
/// @param aNeeds empty for requests without a prompt
/// @param aTried incarnations that are not to be asked again
/// @param aCold by whose choice a cold endpoint would get the request
/// @param aAssigned an incarnation that another host has chosen, cold or not; may be empty
[[nodiscard]] Candidates CandidatesFor(RelayCore& aCore,
                                       const std::string& aServiceName,
                                       const fleet::Service* aService,
                                       const std::optional<PromptNeeds>& aNeeds,
                                       const std::set<std::string>& aTried,
                                       routing::ColdTrafficSource aCold,
                                       const std::string& aAssigned,
                                       base::TimePoint aNow);

} // namespace ferrytray::relay
