#include "ferrytray/once/stream_assembler.hpp"

#include <utility> // for move

namespace ferrytray::once {

bool StreamAssembler::Begin(AttemptId aAttempt)
{
  if (m_nextOffset > 0) {
    return false;
  }
  m_attempt = aAttempt;
  m_buffered.clear();
  m_bufferedBytes = 0;
  m_endOffset.reset();
  return true;
}

std::string StreamAssembler::Accept(StreamChunk aChunk)
{
  const std::uint64_t end = aChunk.m_offset + aChunk.m_text.size();
  if (aChunk.m_attempt != m_attempt) {
    ++m_droppedChunks;
    return {};
  }
  if (aChunk.m_last) {
    m_endOffset = end;
  }
  if (end <= m_nextOffset) {
    m_droppedChunks += aChunk.m_last ? 0 : 1;
    return {};
  }
  const bool inOrder = aChunk.m_offset <= m_nextOffset;
  const bool fits = m_bufferedBytes + aChunk.m_text.size() <= m_maxBufferedBytes;
  if (!inOrder && !fits) {
    // Dropped chunks are sent again when the stream is resumed at NextOffset().
    ++m_droppedChunks;
    return {};
  }
  m_bufferedBytes += aChunk.m_text.size();
  std::string& held = m_buffered[aChunk.m_offset];
  if (held.size() >= aChunk.m_text.size()) {
    m_bufferedBytes -= aChunk.m_text.size();
  } else {
    m_bufferedBytes -= held.size();
    held = std::move(aChunk.m_text);
  }
  return TakeInOrder();
}

std::string StreamAssembler::TakeInOrder()
{
  std::string ready;
  while (!m_buffered.empty() && m_buffered.begin()->first <= m_nextOffset) {
    const auto first = m_buffered.begin();
    const std::uint64_t skip = m_nextOffset - first->first;
    if (skip < first->second.size()) {
      ready.append(first->second, skip);
      m_nextOffset += first->second.size() - skip;
    }
    m_bufferedBytes -= first->second.size();
    m_buffered.erase(first);
  }
  return ready;
}

} // namespace ferrytray::once
