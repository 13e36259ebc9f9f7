#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <optional> // for optional
#include <span>     // for span
#include <string>   // for string

#include "ferrytray/routing/work.hpp" // for Work

namespace ferrytray::routing {

/// @brief One endpoint that a request may go to.
struct PlacementCandidate
{
  std::string m_name;
  Work m_work = 0; ///< open there: this host's own, and others' as far as known
  bool m_avoided = false;
  bool m_full = false; ///< a prompt would wait there for memory (see HasRoom())
};

struct PlacementOptions
{
  /// A prompt's home is passed over when it holds more work than this plus m_overloadMeanFactor
  /// times the mean. 24 is a prompt of 3,000 tokens: moves for less would cost more in parts that
  /// are read again than they gain. 1.1, 1.3 and 1.8 times the mean were tried: the first two
  /// alike, at 1.8 mean benefit was 0.02 lower on heavy days.
  double m_overloadBase = 24;
  double m_overloadMeanFactor = 1.3;
  /// Then the least busy of its first so many homes takes it.
  std::size_t m_homeCount = 4;
};

/// @brief The less busy of two random candidates.
[[nodiscard]] std::optional<std::size_t> PlaceByTwoChoices(
  std::span<const PlacementCandidate> aCandidates,
  std::uint64_t aRandom);

/// @brief Where a prompt goes, and where it would go if that one were not busy.
struct Placement
{
  std::size_t m_chosen = 0;
  std::size_t m_home = 0;
};

/// @brief The first home of a key, or the least busy of its homes if that one is too busy or full.
/// When it is full, too, the prompt is not sent further off: what is known of others' work is old
/// by then, and many hosts would choose the same engine at once.
[[nodiscard]] std::optional<Placement> PlaceAtHome(std::span<const PlacementCandidate> aCandidates,
                                                   const std::string& aKey,
                                                   const PlacementOptions& aOptions);

} // namespace ferrytray::routing
