#pragma once

#include <cstdint> // for uint32_t

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::routing {

/// @brief Size of a request's prompt, in tokens and KV blocks.
struct RequestShape
{
  std::uint32_t m_promptTokens = 0;
  std::uint32_t m_blocks = 0; ///< whole KV blocks in the prompt
  std::uint32_t m_tokensPerBlock = 256;
  double m_bytesPerBlock = 0; ///< transferred to import a block from a store
};

/// @brief State of a worker as the gate currently knows it.
struct WorkerView
{
  base::Duration m_reportedWait{};    ///< queue length in its last load report
  base::Duration m_reportAge{};       ///< age of that report; keeps growing if reports are lost
  base::Duration m_sentSinceReport{}; ///< sent after that report, unanswered
  base::Duration m_completedSinceReport{}; ///< work in that report known to be done
  base::Duration m_roundTrip{};            ///< network round trip to the worker
  std::uint32_t m_cachedBlocks = 0;        ///< of this prompt, by CacheHints
  double m_tokensPerSecond = 1;            ///< measured prefill rate
  base::Duration m_swapWait{};             ///< until it runs the requested weight version
  bool m_usable = true;                    ///< neither draining nor failing
};

/// @brief State of the store that holds this prompt's context.
struct StoreView
{
  std::uint32_t m_storedBlocks = 0; ///< leading blocks of this prompt
  base::Duration m_linkQueue{};     ///< transfer time of the bytes queued on its link
  double m_bytesPerSecond = 1;
  base::Duration m_roundTrip{}; ///< import latency without the transfer time
};

/// @brief Weights of the cost terms, from the fleet's configuration.
struct CostWeights
{
  /// Factor for each second by which the first token is later than the target.
  static constexpr double kLateFactor = 5;

  double m_firstToken = 1;
  double m_recompute = 0;     ///< per second spent recomputing cached or stored tokens
  double m_link = 0;          ///< per second of transfer on the store's link
  double m_targetSeconds = 0; ///< target time to first token (s); 0: none
};

} // namespace ferrytray::routing
