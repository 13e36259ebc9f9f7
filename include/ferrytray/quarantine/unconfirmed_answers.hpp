#pragma once

#include <cstddef> // for size_t
#include <deque>   // for deque
#include <vector>  // for vector

#include "ferrytray/base/time.hpp"               // for TimePoint
#include "ferrytray/quarantine/crash_notice.hpp" // for EndpointKey, ContentKey

namespace ferrytray::quarantine {

/// @brief Answers that seem complete but ended with their connection, as they would if the endpoint
/// had crashed. A later reply of the same endpoint confirms them. Performs no I/O.
class UnconfirmedAnswers
{
public:
  /// @param aCapacity answers stored; the oldest are dropped to bound memory
  explicit UnconfirmedAnswers(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  void Add(const ContentKey& aContent, EndpointKey aEndpoint, base::TimePoint aEndedAt);
  /// @brief An endpoint replied to a request that was sent at aSentAt.
  /// @return the content whose answers this confirms; it is removed
  std::vector<ContentKey> OnEndpointReply(EndpointKey aEndpoint, base::TimePoint aSentAt);

private:
  struct Answer
  {
    ContentKey m_content;
    EndpointKey m_endpoint = 0;
    base::TimePoint m_endedAt{};
  };

  std::size_t m_capacity;
  std::deque<Answer> m_answers;
};

} // namespace ferrytray::quarantine
