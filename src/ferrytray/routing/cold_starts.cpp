#include "ferrytray/routing/cold_starts.hpp"

#include <algorithm> // for max

namespace ferrytray::routing {

namespace {

/// Lower limit of the request rate (requests a second), which bounds the pause.
constexpr double kMinRate = 1e-3;

} // namespace

void ColdStarts::OnColdTimeReported(const std::string& aEngine,
                                    base::Duration aRemaining,
                                    bool aIsNew,
                                    base::TimePoint aNow)
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end() && aRemaining <= base::Duration::zero()) {
    return;
  }
  if (!aIsNew && aRemaining > base::Duration::zero()) {
    HoldIfWarm(aEngine, aNow);
  }
  m_engines[aEngine].m_reportedColdUntil = aNow + aRemaining;
}

void ColdStarts::OnRestartSuspected(const std::string& aEngine,
                                    base::Duration aColdFor,
                                    base::TimePoint aNow)
{
  HoldIfWarm(aEngine, aNow);
  m_engines[aEngine].m_suspectedColdUntil = aNow + aColdFor + m_options.m_maxStateAge;
}

void ColdStarts::HoldIfWarm(const std::string& aEngine, base::TimePoint aNow)
{
  if (IsCold(aEngine, aNow)) {
    return;
  }
  Entry& entry = m_engines[aEngine];
  entry.m_nextOwn = aNow + m_options.m_holdTime;
  entry.m_nextAssigned = aNow + m_options.m_holdTime;
}

void ColdStarts::Forget(const std::string& aEngine)
{
  m_engines.erase(aEngine);
}

bool ColdStarts::IsCold(const std::string& aEngine, base::TimePoint aNow) const
{
  const auto found = m_engines.find(aEngine);
  return found != m_engines.end() &&
         aNow < std::max(found->second.m_reportedColdUntil, found->second.m_suspectedColdUntil);
}

bool ColdStarts::MaySend(const std::string& aEngine,
                         ColdTrafficSource aSource,
                         base::TimePoint aNow) const
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return true;
  }
  return aNow >= (aSource == ColdTrafficSource::Own ? found->second.m_nextOwn
                                                    : found->second.m_nextAssigned);
}

void ColdStarts::OnSent(const std::string& aEngine,
                        ColdTrafficSource aSource,
                        double aColdRate,
                        base::TimePoint aNow)
{
  const double own =
    aColdRate * m_options.m_ownRateShare / static_cast<double>(m_options.m_sendersPerEngine);
  const double rate =
    aSource == ColdTrafficSource::Own ? own : aColdRate * m_options.m_assignedRateShare;
  const base::TimePoint next = aNow + base::FromSeconds(1.0 / std::max(rate, kMinRate));
  Entry& entry = m_engines[aEngine];
  (aSource == ColdTrafficSource::Own ? entry.m_nextOwn : entry.m_nextAssigned) = next;
}

} // namespace ferrytray::routing
