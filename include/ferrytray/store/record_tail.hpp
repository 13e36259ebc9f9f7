#pragma once

#include <algorithm> // for max
#include <cstddef>   // for size_t
#include <deque>     // for deque
#include <optional>  // for optional
#include <vector>    // for vector

#include "ferrytray/store/record_log.hpp" // for Offset, Record

namespace ferrytray::store {

struct RecordTailOptions
{
  /// Bytes of the records kept, with their overhead. Room for the removal of 10,000 keys.
  std::size_t m_maxBytes = 1U << 20U;
  /// Bytes relayed at a time: some 180 directory entries, which keep a host with a tenth of a core
  /// busy for 50 ms, and compressed a 20 Mbit/s link for 5 ms.
  std::size_t m_maxRelayBytes = 64U << 10U;
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
    m_bytes = 0;
    m_begin = aEnd;
    m_end = aEnd;
  }

  /// @brief Appends a record and drops the oldest ones if there are too many.
  void Add(const Record& aRecord);

  /// @brief Moves the end to aEnd: the records skipped carry nothing new and are not relayed.
  void SkipTo(Offset aEnd) { m_end = std::max(m_end, aEnd); }

  /// @brief The first records from an offset on that carry something new, within the size limit; at
  /// least one, whatever its size.
  struct Piece
  {
    std::vector<Record> m_records;
    Offset m_end = 0;       ///< offset from which the next piece continues
    bool m_hasMore = false; ///< further records are kept
  };
  /// @brief Returns the records from an offset on; none if some are no longer kept.
  [[nodiscard]] std::optional<Piece> Since(Offset aFrom) const;
  /// @brief Bytes that a record counts for.
  [[nodiscard]] static std::size_t SizeOf(const Record& aRecord);
  [[nodiscard]] std::size_t MaxRelayBytes() const { return m_options.m_maxRelayBytes; }
  [[nodiscard]] Offset End() const { return m_end; }

private:
  RecordTailOptions m_options;
  Offset m_begin = 0; ///< from here on all records that carry something new are kept
  Offset m_end = 0;
  std::size_t m_bytes = 0;
  std::deque<Record> m_records;
};

} // namespace ferrytray::store
