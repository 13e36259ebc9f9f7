#pragma once

#include <cstdint> // for uint64_t
#include <string>  // for string
#include <variant> // for variant

#include "ferrytray/routing/candidate.hpp" // for CostWeights

namespace ferrytray::experiment {

/// @brief The project's own choice.
struct EstimatedCost
{
  routing::CostWeights m_weights;
};
/// @brief Naive: workers in turn, context from their memory or computed.
struct RoundRobin
{
};
/// @brief Naive: the least reported load, context from its memory or computed.
struct LeastLoad
{
};
/// @brief Naive: the context's home worker, whatever its queue.
struct AffinityHash
{
};
/// @brief The project's choice, but nothing is ever imported.
struct AlwaysRecompute
{
};
/// @brief The least reported load, and all that is stored is imported.
struct AlwaysRestore
{
};

using Policy =
  std::variant<EstimatedCost, RoundRobin, LeastLoad, AffinityHash, AlwaysRecompute, AlwaysRestore>;

/// @brief A policy's short name for tables.
std::string NameOf(const Policy& aPolicy);

/// @brief Which contexts a store keeps when it is full.
enum class EvictionRule : std::uint8_t
{
  LeastValuable,     ///< routing::RetentionValue
  LeastRecentlyUsed, ///< naive twin
};

} // namespace ferrytray::experiment
