#include "ferrytray/peers/fallback_reader.hpp"

#include <algorithm> // for find_if

namespace ferrytray::peers {

std::optional<Peer> FallbackReader::Pick(std::span<const Peer> aReaders,
                                         std::string_view aSource,
                                         bool aLost,
                                         base::TimePoint aNow)
{
  if (aLost) {
    m_lostAt = aNow;
  }
  const bool needed = m_lostAt && (aLost || (m_helps && aNow < *m_lostAt + m_options.m_stayFor));
  if (!needed) {
    m_helps = false;
    m_askedAt.reset();
    return std::nullopt;
  }
  if (!m_helps && m_askedAt && aNow < *m_askedAt + m_options.m_retry) {
    return std::nullopt;
  }
  const auto asked = std::find_if(aReaders.begin(), aReaders.end(), [&](const Peer& aPeer) {
    return m_helps && aPeer.m_name == m_name;
  });
  m_askedAt = aNow;
  if (asked != aReaders.end()) {
    return *asked;
  }
  m_helps = false;
  for (std::size_t tried = 0; tried < aReaders.size(); ++tried) {
    const Peer& next = aReaders[m_position++ % aReaders.size()];
    if (next.m_name != aSource) {
      m_name = next.m_name;
      return next;
    }
  }
  return std::nullopt;
}

void FallbackReader::OnAnswer(std::string_view aName, bool aUsable)
{
  if (aName == m_name) {
    m_helps = aUsable;
  }
}

} // namespace ferrytray::peers
