#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <optional> // for optional
#include <span>     // for span
#include <string>   // for string

#include "ferrytray/routing/work.hpp" // for Work

namespace ferrytray::routing {

/// @brief An endpoint that a request may be sent to.
struct PlacementCandidate
{
  std::string m_name;
  Work m_work = 0;        ///< of open requests: this host's, and others' as far as known
  bool m_avoided = false; ///< unreachable or refused requests recently
  bool m_full = false;    ///< a prompt would wait for memory (see HasRoom())
};

struct PlacementOptions
{
  /// A home is overloaded if its work exceeds this plus m_overloadMeanFactor times the mean. 24 is
  /// the work of a prompt of 3,000 tokens: moving prompts for less costs more in repeated prefill
  /// than it gains. Factors of 1.1 and 1.3 gave the same mean benefit; at 1.8 it was 0.02 lower on
  /// days with high load.
  double m_overloadBase = 24;
  double m_overloadMeanFactor = 1.3;
  /// Number of homes per key; if the first is overloaded or full, the least loaded one is chosen.
  std::size_t m_homeCount = 4;
};

/// @brief Selects the less loaded of two random candidates.
[[nodiscard]] std::optional<std::size_t> PlaceByTwoChoices(
  std::span<const PlacementCandidate> aCandidates,
  std::uint64_t aRandom);

/// @brief The endpoint selected for a prompt, and its first home.
struct Placement
{
  std::size_t m_chosen = 0;
  std::size_t m_home = 0;
};

/// @brief Selects the first home of a key, or the least loaded of its homes if the first is
/// overloaded or full.
///
/// If that one is full, too, no candidate beyond the homes is tried: other hosts' work is known
/// with a delay, so many hosts would choose the same engine at once.
/// @return indexes into aCandidates; empty without candidates
[[nodiscard]] std::optional<Placement> PlaceAtHome(std::span<const PlacementCandidate> aCandidates,
                                                   const std::string& aKey,
                                                   const PlacementOptions& aOptions);

} // namespace ferrytray::routing
