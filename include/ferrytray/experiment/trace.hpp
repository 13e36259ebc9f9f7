#pragma once

#include <cstdint> // for uint32_t, uint64_t
#include <string>  // for string
#include <vector>  // for vector

namespace ferrytray::experiment {

/// @brief One request of a trace.
struct Arrival
{
  double m_at = 0; ///< arrival time (seconds)
  std::uint32_t m_account = 0;
  std::uint32_t m_context = 0;      ///< prompts with the same context share their prefix
  std::uint32_t m_blocks = 0;       ///< whole KV blocks of the context
  std::uint32_t m_suffixTokens = 0; ///< prompt tokens after the context
};

/// @brief The composition of the traffic.
enum class TrafficMix : std::uint8_t
{
  BurstsOfDrafts,    ///< drafts that return, excerpts without returns, one burst
  BundlesAndLookups, ///< long datasheet bundles that return, short lookups
};

struct TraceOptions
{
  TrafficMix m_mix = TrafficMix::BurstsOfDrafts;
  std::uint64_t m_seed = 1;
  double m_seconds = 1800; ///< length of the trace (scaled time)
  double m_load = 0.8;     ///< share of the engines' prefill capacity if all is computed
  std::uint32_t m_workers = 14;
  double m_tokensPerSecond = 8000;
  std::uint32_t m_tokensPerBlock = 256;
  double m_reuse = 1.0; ///< scales the arrival rate for what is expected to be reused
};

/// @brief Generates Poisson session starts, Zipf-distributed accounts and log-normal return gaps.
std::vector<Arrival> MakeTrace(const TraceOptions& aOptions);

} // namespace ferrytray::experiment
