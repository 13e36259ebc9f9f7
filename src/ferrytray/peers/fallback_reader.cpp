#include "ferrytray/peers/fallback_reader.hpp"

#include <algorithm> // for find_if

namespace ferrytray::peers {

std::optional<Peer> FallbackReader::Pick(std::span<const Peer> aReaders,
                                         std::string_view aSource,
                                         bool aLogLost,
                                         base::TimePoint aNow)
{
  if (aLogLost) {
    m_logLostAt = aNow;
  }
  const bool needed =
    m_logLostAt && (aLogLost || (m_active && aNow < *m_logLostAt + m_options.m_holdTime));
  if (!needed) {
    m_active = false;
    m_lastRequestAt.reset();
    return std::nullopt;
  }
  if (!m_active && m_lastRequestAt && aNow < *m_lastRequestAt + m_options.m_retryInterval) {
    return std::nullopt;
  }
  const auto current = std::find_if(aReaders.begin(), aReaders.end(), [&](const Peer& aPeer) {
    return m_active && aPeer.m_name == m_name;
  });
  m_lastRequestAt = aNow;
  if (current != aReaders.end()) {
    return *current;
  }
  m_active = false;
  for (std::size_t attempts = 0; attempts < aReaders.size(); ++attempts) {
    const Peer& next = aReaders[m_nextIndex++ % aReaders.size()];
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
    m_active = aUsable;
  }
}

} // namespace ferrytray::peers
