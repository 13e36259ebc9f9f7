#pragma once

#include <cstdint> // for uint32_t
#include <string>  // for string
#include <vector>  // for vector

#include "ferrytray/experiment/policy.hpp" // for Policy
#include "ferrytray/experiment/trace.hpp"  // for Arrival

namespace ferrytray::experiment {

/// @brief The fault injected into a run.
enum class Fault : std::uint8_t
{
  None,
  SlowWorker,    ///< one engine is ten times slower, which its reports show
  StoreDead,     ///< one store fails for good
  LinkAtTenth,   ///< one store's link drops to a tenth of its speed
  ThreeSwapping, ///< three engines at a time repeatedly take no work for a while
  ZoneGone,      ///< a third of the engines is down for a third of the run
  BlindReports,  ///< no load reports arrive after the first fifth of the run
};

/// @brief The name of a fault in tables and JSON output.
std::string NameOf(Fault aFault);

struct ModelOptions
{
  std::uint32_t m_workers = 14;
  std::uint32_t m_stores = 2;
  std::uint32_t m_gates = 8;
  double m_tokensPerSecond = 8000;
  std::uint32_t m_tokensPerBlock = 256;
  double m_bytesPerBlock = 33554432;
  double m_linkBytesPerSecond = 4e9;
  double m_diskBytesPerSecond = 1e9;
  std::uint32_t m_cacheBlocks = 400;        ///< capacity of one worker's memory
  std::uint32_t m_storeMemoryBlocks = 4000; ///< of one store
  std::uint32_t m_storeDiskBlocks = 12000;
  double m_reportLag = 0; ///< seconds
  Fault m_fault = Fault::None;
  EvictionRule m_evictionRule = EvictionRule::LeastValuable;
  bool m_exportsYieldToImports = true; ///< exports run block by block while no import uses the link
  std::uint64_t m_seed = 1;
};

/// @brief The results of one run.
struct Outcome
{
  std::vector<double> m_timesToFirstToken; ///< seconds, one for each arrival, sorted
  double m_recomputedShare = 0; ///< share of returning context tokens that are computed again
  double m_linkBytes = 0;
  double m_linkUse = 0; ///< mean share of time in which the links are busy

  /// @param aShare the quantile of the time to first token, such as 0.95
  [[nodiscard]] double Quantile(double aShare) const;
};

/// @brief Simulates a trace with queue models of engines, links and stores.
///
/// The routing and retention code is the one that the daemons use. A worker computes one prefill
/// at a time; decoding is not modelled.
Outcome Simulate(const std::vector<Arrival>& aTrace,
                 const Policy& aPolicy,
                 const ModelOptions& aOptions);

/// @brief The lowest mean time to first token of all assignments; only for traces of a few
/// arrivals.
double OfflineBestMean(const std::vector<Arrival>& aTrace, const ModelOptions& aOptions);

} // namespace ferrytray::experiment
