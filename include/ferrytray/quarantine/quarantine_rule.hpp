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
  /// Crashes after which content that was never answered is quarantined even if other content
  /// explains them. Two kinds of content may crash the same endpoints by chance, but not for long.
  std::size_t m_explainedCrashes = 5;
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
/// All requests that run at a crashed endpoint are suspected, each with all of its parts. The
/// selection explains the crashes with little content: it proceeds from content with most crashes
/// to content with fewest, and a crash that content without a complete answer explains does not
/// count against later content. If sound content was selected first, that ends with the next crash:
/// the true cause then has more crashes. Content that was answered before is considered last and
/// explains nothing, since popular content runs at all endpoints.
[[nodiscard]] std::set<ContentKey> SelectQuarantined(std::span<const Suspect> aSuspects,
                                                     const QuarantineThresholds& aThresholds);

} // namespace ferrytray::quarantine
