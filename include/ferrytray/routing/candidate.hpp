#pragma once

#include <cstdint> // for uint32_t

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::routing {

/// @brief What a request needs of a worker.
struct RequestShape
{
  std::uint32_t m_promptTokens = 0;
  std::uint32_t m_blocks = 0; ///< whole KV blocks in the prompt
  std::uint32_t m_tokensPerBlock = 256;
  double m_bytesPerBlock = 0; ///< on a store's link
};

/// @brief A worker as the gate sees it now.
struct WorkerView
{
  base::Duration m_reportedWait{};         ///< its queue by its last load report
  base::Duration m_reportAge{};            ///< how old that report is; a lost one ages on
  base::Duration m_sentSinceReport{};      ///< sent after that report and not answered yet
  base::Duration m_completedSinceReport{}; ///< work in that report that is known to be done
  base::Duration m_roundTrip{};            ///< round trip to it
  std::uint32_t m_cachedBlocks = 0;        ///< of this prompt, by hints
  double m_tokensPerSecond = 1;            ///< measured prefill speed
  base::Duration m_swapWait{};             ///< until it runs the wanted version
  bool m_usable = true;                    ///< not leaving, not failing
};

/// @brief The store that keeps this prompt's context.
struct StoreView
{
  std::uint32_t m_storedBlocks = 0; ///< of this prompt, from the first on
  base::Duration m_linkQueue{};     ///< bytes ahead on its link, as time
  double m_bytesPerSecond = 1;
  base::Duration m_roundTrip{}; ///< round trips of an import besides the bytes
};

/// @brief How much each cost counts; from the fleet's configuration.
struct CostWeights
{
  /// A second beyond the target counts so many times as much.
  static constexpr double kLateFactor = 5;

  double m_firstToken = 1;
  double m_recompute = 0;
  double m_link = 0;
  double m_targetSeconds = 0; ///< first token wanted within so many seconds; 0: no target
};

} // namespace ferrytray::routing
