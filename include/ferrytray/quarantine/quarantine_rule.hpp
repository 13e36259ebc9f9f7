#pragma once

#include <cstddef> // for size_t
#include <set>     // for set
#include <span>    // for span

#include "ferrytray/quarantine/content_key.hpp" // for ContentKey
#include "ferrytray/quarantine/suspicion.hpp"   // for Suspicion

namespace ferrytray::quarantine {

struct QuarantineThresholds
{
  /// Crashes without a complete answer in between after which content is quarantined. Content that
  /// merely runs beside the crashing one seldom shares its endpoint that often.
  std::size_t m_crashes = 3;
  /// The same for content that was answered completely before. Endpoints that fail together, such
  /// as those of one rack, may all be running the same popular content.
  std::size_t m_knownGoodCrashes = 5;
  [[nodiscard]] std::size_t Of(const Suspicion& aSuspicion) const
  {
    return aSuspicion.m_knownGood ? m_knownGoodCrashes : m_crashes;
  }
};

/// @brief Suspected content and the evidence against it.
struct Suspect
{
  ContentKey m_content;
  const Suspicion* m_suspicion = nullptr;
};

/// @brief Selects the content that is quarantined. A pure function of the evidence, so that hosts
/// with the same evidence agree whatever the order in which it arrived.
///
/// All requests that run at a crashed endpoint are suspected, each with all of its parts. Once
/// content that was never answered reaches its threshold, it explains the crashes of its endpoints,
/// which no longer count against content with fewer crashes or content that was answered before.
/// Content with equally many crashes cannot be told apart and is quarantined together.
[[nodiscard]] std::set<ContentKey> SelectQuarantined(std::span<const Suspect> aSuspects,
                                                     const QuarantineThresholds& aThresholds);

} // namespace ferrytray::quarantine
