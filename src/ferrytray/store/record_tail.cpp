#include "ferrytray/store/record_tail.hpp"

namespace ferrytray::store {

std::optional<std::vector<Record>> RecordTail::Since(Offset aFrom, RelayLimit aLimit) const
{
  std::vector<Record> records;
  if (aFrom >= m_end) {
    return records; // the requesting host has all of them
  }
  if (aFrom < m_begin) {
    return std::nullopt;
  }
  std::size_t bytes = 0;
  for (const Record& record : m_records) {
    if (record.m_offset < aFrom) {
      continue;
    }
    bytes += record.m_key.size() + record.m_value.size();
    if (aLimit == RelayLimit::Bounded && bytes > m_options.m_maxRelayBytes) {
      return std::nullopt;
    }
    records.push_back(record);
  }
  return records;
}

} // namespace ferrytray::store
