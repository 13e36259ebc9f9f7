#include "ferrytray/store/record_tail.hpp"

#include <algorithm> // for lower_bound

namespace ferrytray::store {

std::size_t RecordTail::SizeOf(const Record& aRecord)
{
  return sizeof(Record) + aRecord.m_key.size() + aRecord.m_value.size();
}

void RecordTail::Add(const Record& aRecord)
{
  m_records.push_back(aRecord);
  m_bytes += SizeOf(aRecord);
  m_end = aRecord.m_offset + 1;
  while (m_bytes > m_options.m_maxBytes && m_records.size() > 1) {
    m_begin = m_records.front().m_offset + 1;
    m_bytes -= SizeOf(m_records.front());
    m_records.pop_front();
  }
}

std::optional<RecordTail::Piece> RecordTail::Since(Offset aFrom) const
{
  if (aFrom < m_begin) {
    return std::nullopt;
  }
  Piece piece;
  piece.m_end = std::max(aFrom, m_end);
  auto next = std::lower_bound(
    m_records.begin(), m_records.end(), aFrom, [](const Record& aRecord, Offset aOffset) {
      return aRecord.m_offset < aOffset;
    });
  std::size_t bytes = 0;
  for (; next != m_records.end(); ++next) {
    bytes += SizeOf(*next);
    if (bytes > m_options.m_maxRelayBytes && !piece.m_records.empty()) {
      piece.m_end = next->m_offset;
      piece.m_hasMore = true;
      break;
    }
    piece.m_records.push_back(*next);
  }
  return piece;
}

} // namespace ferrytray::store
