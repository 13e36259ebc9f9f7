#pragma once

#include <algorithm> // for max
#include <cstddef>   // for size_t
#include <cstdint>   // for uint8_t
#include <deque>     // for deque
#include <optional>  // for optional
#include <vector>    // for vector

#include "ferrytray/store/record_log.hpp" // for Offset, Record

namespace ferrytray::store {

/// @brief How much is relayed to another host at a time.
enum class RelayLimit : std::uint8_t
{
  Bounded,   ///< at most m_maxRelayBytes, otherwise none; the other host reads them from the log
  Unbounded, ///< without a limit; the other host cannot reach the log
};

struct RecordTailOptions
{
  std::size_t m_maxRecords = 512; ///< records kept; a busy topic gets some tens a second
  /// Bytes relayed at a time; more would keep hosts with slow links busy.
  std::size_t m_maxRelayBytes = 32U << 10U;
};

/// @brief The newest records of a topic, kept for hosts that follow it through this one. Does no
/// I/O.
class RecordTail
{
public:
  explicit RecordTail(RecordTailOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Drops all records; the next one is at aEnd, the end of a snapshot.
  void Restart(Offset aEnd)
  {
    m_records.clear();
    m_begin = aEnd;
    m_end = aEnd;
  }

  /// @brief Appends a record and drops the oldest one if there are too many.
  void Add(const Record& aRecord)
  {
    m_records.push_back(aRecord);
    m_end = aRecord.m_offset + 1;
    if (m_records.size() > m_options.m_maxRecords) {
      m_begin = m_records.front().m_offset + 1;
      m_records.pop_front();
    }
  }

  /// @brief Moves the end to aEnd: the records skipped carry nothing new and are not relayed.
  void SkipTo(Offset aEnd) { m_end = std::max(m_end, aEnd); }

  /// @brief Returns the records from an offset on that carry something new; none if they are no
  /// longer kept or exceed the limit.
  [[nodiscard]] std::optional<std::vector<Record>> Since(
    Offset aFrom,
    RelayLimit aLimit = RelayLimit::Bounded) const;
  [[nodiscard]] Offset End() const { return m_end; }

private:
  RecordTailOptions m_options;
  Offset m_begin = 0; ///< from here on all records that carry something new are kept
  Offset m_end = 0;
  std::deque<Record> m_records;
};

} // namespace ferrytray::store
