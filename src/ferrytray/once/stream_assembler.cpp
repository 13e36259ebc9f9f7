#include "ferrytray/once/stream_assembler.hpp"

#include <utility> // for move

namespace ferrytray::once {

bool StreamAssembler::Begin(AttemptId aAttempt)
{
  if (m_next > 0) {
    return false;
  }
  m_attempt = aAttempt;
  m_held.clear();
  m_heldBytes = 0;
  m_end.reset();
  return true;
}

std::string StreamAssembler::Accept(StreamPiece aPiece)
{
  const std::uint64_t end = aPiece.m_offset + aPiece.m_text.size();
  if (aPiece.m_attempt != m_attempt) {
    ++m_dropped;
    return {};
  }
  if (aPiece.m_last) {
    m_end = end;
  }
  if (end <= m_next) {
    m_dropped += aPiece.m_last ? 0 : 1;
    return {};
  }
  const bool inOrder = aPiece.m_offset <= m_next;
  const bool fits = m_heldBytes + aPiece.m_text.size() <= m_maxHeldBytes;
  if (!inOrder && !fits) {
    // Dropped pieces come again when the stream is resumed at NextOffset().
    ++m_dropped;
    return {};
  }
  m_heldBytes += aPiece.m_text.size();
  std::string& held = m_held[aPiece.m_offset];
  if (held.size() >= aPiece.m_text.size()) {
    m_heldBytes -= aPiece.m_text.size();
  } else {
    m_heldBytes -= held.size();
    held = std::move(aPiece.m_text);
  }
  return TakeReady();
}

std::string StreamAssembler::TakeReady()
{
  std::string ready;
  while (!m_held.empty() && m_held.begin()->first <= m_next) {
    const auto first = m_held.begin();
    const std::uint64_t skip = m_next - first->first;
    if (skip < first->second.size()) {
      ready.append(first->second, skip);
      m_next += first->second.size() - skip;
    }
    m_heldBytes -= first->second.size();
    m_held.erase(first);
  }
  return ready;
}

} // namespace ferrytray::once
