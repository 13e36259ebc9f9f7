#include "ferrytray/routing/cold_starts.hpp"

#include <algorithm> // for max

namespace ferrytray::routing {

namespace {

/// Rates below this bear no request at all (a second).
constexpr double kLeastRate = 1e-3;

} // namespace

void ColdStarts::OnTold(const std::string& aEngine,
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
  m_engines[aEngine].m_toldUntil = aNow + aRemaining;
}

void ColdStarts::OnSuspected(const std::string& aEngine,
                             base::Duration aColdFor,
                             base::TimePoint aNow)
{
  HoldIfWarm(aEngine, aNow);
  m_engines[aEngine].m_suspectedUntil = aNow + aColdFor + m_options.m_newsWithin;
}

void ColdStarts::HoldIfWarm(const std::string& aEngine, base::TimePoint aNow)
{
  if (IsCold(aEngine, aNow)) {
    return;
  }
  Entry& entry = m_engines[aEngine];
  entry.m_nextOwn = aNow + m_options.m_holdFor;
  entry.m_nextAssigned = aNow + m_options.m_holdFor;
}

void ColdStarts::Forget(const std::string& aEngine)
{
  m_engines.erase(aEngine);
}

bool ColdStarts::IsCold(const std::string& aEngine, base::TimePoint aNow) const
{
  const auto found = m_engines.find(aEngine);
  return found != m_engines.end() &&
         aNow < std::max(found->second.m_toldUntil, found->second.m_suspectedUntil);
}

bool ColdStarts::MaySend(const std::string& aEngine, ColdUse aUse, base::TimePoint aNow) const
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return true;
  }
  return aNow >= (aUse == ColdUse::Own ? found->second.m_nextOwn : found->second.m_nextAssigned);
}

void ColdStarts::OnSent(const std::string& aEngine,
                        ColdUse aUse,
                        double aBearable,
                        base::TimePoint aNow)
{
  const double own = aBearable * m_options.m_ownPart / static_cast<double>(m_options.m_hosts);
  const double rate = aUse == ColdUse::Own ? own : aBearable * m_options.m_assignedPart;
  const base::TimePoint next = aNow + base::FromSeconds(1.0 / std::max(rate, kLeastRate));
  Entry& entry = m_engines[aEngine];
  (aUse == ColdUse::Own ? entry.m_nextOwn : entry.m_nextAssigned) = next;
}

} // namespace ferrytray::routing
