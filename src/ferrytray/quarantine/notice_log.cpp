#include "ferrytray/quarantine/notice_log.hpp"

#include <algorithm>   // for min
#include <array>       // for array
#include <string_view> // for string_view

#include "ferrytray/base/digest.hpp" // for Hash64

namespace ferrytray::quarantine {

std::uint64_t NoticeLog::HashOf(const CrashNotice& aNotice)
{
  const std::array<std::uint64_t, 5> words{ static_cast<std::uint64_t>(aNotice.m_kind),
                                            aNotice.m_content.m_high,
                                            aNotice.m_content.m_low,
                                            aNotice.m_endpoint,
                                            aNotice.m_sequence };
  return base::Hash64("notice",
                      std::string_view(reinterpret_cast<const char*>(words.data()), sizeof(words)));
}

bool NoticeLog::Add(const CrashNotice& aNotice)
{
  if (!m_knownHashes.insert(HashOf(aNotice)).second) {
    return false;
  }
  m_notices.push_back(aNotice);
  if (m_notices.size() > m_capacity) {
    m_knownHashes.erase(HashOf(m_notices.front()));
    m_notices.pop_front();
    ++m_begin;
  }
  return true;
}

std::size_t NoticeLog::IndexOf(NoticeOffset aFrom) const
{
  // The notices at lower offsets were dropped; an offset beyond the end belongs to the log of an
  // earlier process. In both cases the reader needs all stored notices.
  const bool known = aFrom >= m_begin && aFrom <= End();
  return known ? static_cast<std::size_t>(aFrom - m_begin) : 0;
}

CrashNotices NoticeLog::Since(NoticeOffset aFrom, std::size_t aMaxCount) const
{
  const std::size_t first = IndexOf(aFrom);
  const std::size_t last = std::min(first + aMaxCount, m_notices.size());
  return { m_notices.begin() + static_cast<std::ptrdiff_t>(first),
           m_notices.begin() + static_cast<std::ptrdiff_t>(last) };
}

NoticeOffset NoticeLog::NextOffset(NoticeOffset aFrom, std::size_t aMaxCount) const
{
  return m_begin + std::min(IndexOf(aFrom) + aMaxCount, m_notices.size());
}

} // namespace ferrytray::quarantine
