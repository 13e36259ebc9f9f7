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

/// Orders content that was never answered first, then by descending number of crashes. Of equals, a
/// whole request comes before the parts that only it has.
bool IsJudgedEarlier(const Suspect& aLeft, const Suspect& aRight)
{
  const auto rank = [](const Suspect& aSuspect) {
    return std::tuple(!aSuspect.m_suspicion->m_knownGood,
                      CrashCount(aSuspect),
                      !IsPart(aSuspect.m_content),
                      aSuspect.m_content);
  };
  return rank(aLeft) > rank(aRight);
}

bool IsCertain(const Suspect& aSuspect, const QuarantineThresholds& aThresholds)
{
  return !aSuspect.m_suspicion->m_knownGood &&
         CrashCount(aSuspect) >= aThresholds.m_explainedCrashes;
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
  for (const Suspect& candidate : candidates) {
    const std::vector<EndpointKey>& crashes = candidate.m_suspicion->m_crashedEndpoints;
    const auto unexplained =
      std::count_if(crashes.begin(), crashes.end(), [&](EndpointKey aEndpoint) {
        return !explained.contains(aEndpoint);
      });
    if (static_cast<std::size_t>(unexplained) < aThresholds.Of(*candidate.m_suspicion) &&
        !IsCertain(candidate, aThresholds)) {
      continue;
    }
    quarantined.insert(candidate.m_content);
    if (!candidate.m_suspicion->m_knownGood) {
      explained.insert(crashes.begin(), crashes.end());
    }
  }
  return quarantined;
}

} // namespace ferrytray::quarantine
