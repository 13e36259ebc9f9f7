#include "ferrytray/quarantine/unconfirmed_answers.hpp"

namespace ferrytray::quarantine {

void UnconfirmedAnswers::Add(const ContentKey& aContent,
                             EndpointKey aEndpoint,
                             base::TimePoint aEndedAt)
{
  if (m_answers.size() == m_capacity) {
    m_answers.pop_front();
  }
  m_answers.push_back({ aContent, aEndpoint, aEndedAt });
}

std::vector<ContentKey> UnconfirmedAnswers::OnEndpointReply(EndpointKey aEndpoint,
                                                            base::TimePoint aSentAt)
{
  std::vector<ContentKey> confirmed;
  std::erase_if(m_answers, [&](const Answer& aAnswer) {
    const bool isConfirmed = aAnswer.m_endpoint == aEndpoint && aSentAt > aAnswer.m_endedAt;
    if (isConfirmed) {
      confirmed.push_back(aAnswer.m_content);
    }
    return isConfirmed;
  });
  return confirmed;
}

} // namespace ferrytray::quarantine
