#pragma once

#include <cstdint> // for uint32_t
#include <string>  // for string
#include <vector>  // for vector

#include "ferrytray/experiment/policy.hpp" // for Policy
#include "ferrytray/experiment/trace.hpp"  // for Arrival

namespace ferrytray::experiment {

/// @brief What is wrong during a run.
enum class Fault : std::uint8_t
{
  None,
  SlowWorker,    ///< one engine ten times slower, unknown to the estimator's speed
  StoreDead,     ///< one of the stores gone
  LinkAtTenth,   ///< one store's link at a tenth of its speed
  ThreeSwapping, ///< three engines take no work for a while, again and again
  ZoneGone,      ///< a third of the engines gone for a third of the time
  BlindReports,  ///< load reports stop coming
};

/// @brief A fault's short name.
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
  std::uint32_t m_cacheBlocks = 400;        ///< of one worker's memory
  std::uint32_t m_storeMemoryBlocks = 4000; ///< of one store
  std::uint32_t m_storeDiskBlocks = 12000;
  double m_reportLag = 0; ///< seconds
  Fault m_fault = Fault::None;
  EvictionRule m_evictionRule = EvictionRule::LeastValuable;
  bool m_exportsYieldToImports =
    true; ///< exports move block by block while no import wants the link
  std::uint64_t m_seed = 1;
};

/// @brief What one run measured.
struct Outcome
{
  std::vector<double> m_timesToFirstToken; ///< seconds, one for each arrival, sorted
  double m_recomputedShare = 0;            ///< of the context tokens that had been computed before
  double m_linkBytes = 0;
  double m_linkUse = 0; ///< busy share of the links

  /// @param aShare such as 0.95
  [[nodiscard]] double Quantile(double aShare) const;
};

/// @brief Plays a trace against simple queues of engines, links and stores.
///
/// The policy's own parts are the ones that the daemons use; engines, links and stores are
/// queues. Prefill is served one at a time; decoding is left out.
Outcome Simulate(const std::vector<Arrival>& aTrace,
                 const Policy& aPolicy,
                 const ModelOptions& aOptions);

/// @brief The lowest mean time to first token of any assignment, for traces of a few arrivals.
double OfflineBestMean(const std::vector<Arrival>& aTrace, const ModelOptions& aOptions);

} // namespace ferrytray::experiment
