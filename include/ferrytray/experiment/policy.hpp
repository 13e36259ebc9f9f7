#pragma once

#include <cstdint> // for uint64_t
#include <string>  // for string
#include <variant> // for variant

#include "ferrytray/routing/candidate.hpp" // for CostWeights

namespace ferrytray::experiment {

/// @brief The cost estimate that the daemons use.
struct EstimatedCost
{
  routing::CostWeights m_weights;
};
/// @brief Baseline: workers in turn; a context is in their memory or computed.
struct RoundRobin
{
};
/// @brief Baseline: the least reported load; a context is in that worker's memory or computed.
struct LeastLoad
{
};
/// @brief Baseline: the context's home worker, regardless of its queue.
struct AffinityHash
{
};
/// @brief The daemons' cost estimate without imports.
struct AlwaysRecompute
{
};
/// @brief Baseline: the least reported load; every stored block is imported.
struct AlwaysRestore
{
};

using Policy =
  std::variant<EstimatedCost, RoundRobin, LeastLoad, AffinityHash, AlwaysRecompute, AlwaysRestore>;

/// @brief The name of a policy in tables and JSON output.
std::string NameOf(const Policy& aPolicy);

/// @brief Which contexts a full store demotes or evicts first.
enum class EvictionRule : std::uint8_t
{
  LeastValuable,     ///< lowest routing::RetentionValue
  LeastRecentlyUsed, ///< baseline
};

} // namespace ferrytray::experiment
