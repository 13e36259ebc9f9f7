#include "ferrytray/store/unreadable_records.hpp"

#include <string> // for to_string

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::store {

void UnreadableRecords::Note(const Record& aRecord, const base::Failure& aWhy)
{
  const int code = static_cast<int>(aWhy.m_code);
  if (m_metrics != nullptr) {
    m_metrics->Count("records_unreadable_total{code=\"" + std::to_string(code) + "\"}");
  }
  const auto kept = m_gate.Admit(aWhy.m_message, base::MonotonicNow());
  if (kept) {
    telemetry::LogLine("record_unreadable")
      .Add("key", aRecord.m_key)
      .Add("offset", aRecord.m_offset)
      .Add("code", code)
      .Add("not_logged", *kept)
      .Add("why", aWhy.m_message);
  }
}

} // namespace ferrytray::store
