#include "ferrytray/quarantine/quarantine_rule.hpp"

#include <algorithm> // for count_if, sort
#include <tuple>     // for tuple
#include <vector>    // for vector

namespace ferrytray::quarantine {

namespace {

std::size_t CrashCount(const Suspect& aSuspect)
{
  return aSuspect.m_suspicion->m_crashedEndpoints.size();
}

/// Orders content that was never answered first, then by descending number of crashes.
bool IsJudgedEarlier(const Suspect& aLeft, const Suspect& aRight)
{
  const auto rank = [](const Suspect& aSuspect) {
    return std::tuple(!aSuspect.m_suspicion->m_knownGood, CrashCount(aSuspect));
  };
  return rank(aLeft) > rank(aRight);
}

} // namespace

std::set<ContentKey> SelectQuarantined(std::span<const Suspect> aSuspects,
                                       const QuarantineThresholds& aThresholds)
{
  std::vector<Suspect> candidates;
  for (const Suspect& suspect : aSuspects) {
    if (CrashCount(suspect) >= aThresholds.Of(*suspect.m_suspicion)) {
      candidates.push_back(suspect);
    }
  }
  std::sort(candidates.begin(), candidates.end(), IsJudgedEarlier);
  std::set<ContentKey> quarantined;
  std::set<EndpointKey> explained;
  for (auto first = candidates.begin(); first != candidates.end();) {
    const auto last = std::find_if(first, candidates.end(), [first](const Suspect& aSuspect) {
      return IsJudgedEarlier(*first, aSuspect);
    });
    std::set<EndpointKey> explainedByGroup;
    for (; first != last; ++first) {
      const std::vector<EndpointKey>& crashes = first->m_suspicion->m_crashedEndpoints;
      const auto unexplained =
        std::count_if(crashes.begin(), crashes.end(), [&](EndpointKey aEndpoint) {
          return !explained.contains(aEndpoint);
        });
      if (static_cast<std::size_t>(unexplained) < aThresholds.Of(*first->m_suspicion)) {
        continue;
      }
      quarantined.insert(first->m_content);
      if (!first->m_suspicion->m_knownGood) {
        explainedByGroup.insert(crashes.begin(), crashes.end());
      }
    }
    explained.merge(explainedByGroup);
  }
  return quarantined;
}

} // namespace ferrytray::quarantine
