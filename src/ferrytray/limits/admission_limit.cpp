#include "ferrytray/limits/admission_limit.hpp"

#include <algorithm> // for max, min

namespace ferrytray::limits {

std::optional<std::uint64_t> AdmissionLimit::Admit(base::Duration aTarget, base::TimePoint aNow)
{
  if (!m_windowEnd) {
    m_windowEnd = aNow + m_options.m_window;
  } else if (aNow >= *m_windowEnd) {
    CloseWindow(aNow);
  }
  if (m_limit && static_cast<double>(m_open.size()) >= *m_limit) {
    m_limitReached = true;
    return std::nullopt;
  }
  const base::Duration slowAfter =
    base::FromSeconds(base::Seconds(aTarget) * m_options.m_slowTargetFraction);
  m_open[++m_lastId] = { aNow + slowAfter, false, false };
  return m_lastId;
}

void AdmissionLimit::OnAnswerStarted(std::uint64_t aRequest, base::TimePoint aNow)
{
  const auto found = m_open.find(aRequest);
  if (found == m_open.end() || found->second.m_answerStarted) {
    return;
  }
  found->second.m_answerStarted = true;
  if (aNow >= found->second.m_slowAt) {
    CountSlow(found->second);
  } else {
    ++m_onTimeCount;
  }
}

void AdmissionLimit::OnEnded(std::uint64_t aRequest)
{
  m_open.erase(aRequest);
}

void AdmissionLimit::CountSlow(Request& aRequest)
{
  if (!aRequest.m_countedSlow) {
    aRequest.m_countedSlow = true;
    ++m_slowCount;
  }
}

void AdmissionLimit::CloseWindow(base::TimePoint aNow)
{
  for (auto& [number, request] : m_open) {
    if (!request.m_answerStarted && aNow >= request.m_slowAt) {
      CountSlow(request);
    }
  }
  const std::size_t total = m_slowCount + m_onTimeCount;
  const bool slow =
    total >= m_options.m_minSamples &&
    static_cast<double>(m_slowCount) > m_options.m_maxSlowFraction * static_cast<double>(total);
  const auto open = static_cast<double>(m_open.size());
  if (slow) {
    const double from = m_limit ? std::min(*m_limit, open) : open;
    m_limit = std::max(m_options.m_minLimit, from * m_options.m_decreaseFactor);
  } else if (m_limit && m_limitReached) {
    m_limit = *m_limit * m_options.m_increaseFactor + 1;
  } else if (m_limit && open < *m_limit / 2) {
    m_limit.reset(); // answers are on time well below the limit: the overload is over
  }
  m_slowCount = 0;
  m_onTimeCount = 0;
  m_limitReached = false;
  m_windowEnd = aNow + m_options.m_window;
}

} // namespace ferrytray::limits
