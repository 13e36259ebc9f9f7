#include "ferrytray/peers/incarnation_table.hpp"

#include <algorithm> // for partial_sort
#include <chrono>    // for milliseconds
#include <cstddef>   // for ptrdiff_t

#include "ferrytray/base/digest.hpp" // for Hash64

namespace ferrytray::peers {

IncarnationKey KeyOf(std::string_view aIncarnation)
{
  return base::Hash64("incarnation", aIncarnation);
}

bool IncarnationTable::OnNotice(const IncarnationNotice& aNotice, base::TimePoint aNow)
{
  const std::chrono::milliseconds age(aNotice.m_ageMillis);
  const bool plausible = age >= base::Duration::zero() && age < m_options.m_forwardTime;
  if (!plausible || m_foundAt.size() >= m_options.m_maxEntries) {
    return false;
  }
  return m_foundAt.try_emplace(aNotice.m_incarnation, aNow - age).second;
}

IncarnationNotices IncarnationTable::Notices(base::TimePoint aNow) const
{
  IncarnationNotices notices;
  for (const auto& [incarnation, foundAt] : m_foundAt) {
    const base::Duration age = aNow - foundAt;
    if (age < m_options.m_forwardTime) {
      const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
      notices.push_back({ incarnation, static_cast<std::int32_t>(millis) });
    }
  }
  if (notices.size() > m_options.m_maxNotices) {
    const auto end = notices.begin() + static_cast<std::ptrdiff_t>(m_options.m_maxNotices);
    std::partial_sort(
      notices.begin(), end, notices.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.m_ageMillis < aRight.m_ageMillis;
      });
    notices.erase(end, notices.end());
  }
  return notices;
}

void IncarnationTable::Expire(base::TimePoint aNow)
{
  std::erase_if(m_foundAt,
                [&](const auto& aPair) { return aPair.second + m_options.m_retention <= aNow; });
}

} // namespace ferrytray::peers
