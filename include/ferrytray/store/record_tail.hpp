#pragma once

#include <algorithm> // for max
#include <cstddef>   // for size_t
#include <cstdint>   // for uint8_t
#include <deque>     // for deque
#include <optional>  // for optional
#include <vector>    // for vector

#include "ferrytray/store/record_log.hpp" // for Offset, Record

namespace ferrytray::store {

/// @brief How much is passed on to another host at once.
enum class RelayLimit : std::uint8_t
{
  Bounded,   ///< it can read large records from the log itself
  Unbounded, ///< it has lost the log
};

struct RecordTailOptions
{
  std::size_t m_maxRecords = 512; ///< kept; a busy topic gets some tens a second
  /// More than this is not passed on at once: hosts with thin links would be busy with it (bytes).
  std::size_t m_maxRelayBytes = 32U << 10U;
};

/// @brief The newest records of a topic, for hosts that follow it through this one. Pure.
class RecordTail
{
public:
  explicit RecordTail(RecordTailOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Begins anew behind a snapshot.
  void Restart(Offset aEnd)
  {
    m_records.clear();
    m_begin = aEnd;
    m_end = aEnd;
  }

  /// @brief Adds the record at the end.
  void Add(const Record& aRecord)
  {
    m_records.push_back(aRecord);
    m_end = aRecord.m_offset + 1;
    if (m_records.size() > m_options.m_maxRecords) {
      m_begin = m_records.front().m_offset + 1;
      m_records.pop_front();
    }
  }

  /// @brief What is in the topic up to there tells nothing that is not known: it is not passed on.
  void SkipTo(Offset aEnd) { m_end = std::max(m_end, aEnd); }

  /// @brief The records from an offset on that tell something; nothing if they are no longer kept
  /// or too large.
  [[nodiscard]] std::optional<std::vector<Record>> Since(
    Offset aFrom,
    RelayLimit aLimit = RelayLimit::Bounded) const;
  [[nodiscard]] Offset End() const { return m_end; }

private:
  RecordTailOptions m_options;
  Offset m_begin = 0; ///< from here on nothing that tells something is missing
  Offset m_end = 0;
  std::deque<Record> m_records;
};

} // namespace ferrytray::store
