#pragma once

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/error.hpp" // for Result
#include "ferrytray/base/time.hpp"  // for Duration

namespace ferrytray::store {

/// @brief Position of a record in its topic, which grows by one with each record.
using Offset = std::uint64_t;

/// @brief One record of a topic. A keyed topic keeps the newest record of each key forever.
struct Record
{
  Offset m_offset = 0;
  std::string m_key; ///< empty in topics without keys
  std::string m_value;
  bool m_removed = false; ///< of a keyed topic: the key was removed
};

/// @brief Records from one offset on.
struct Batch
{
  Offset m_end = 0; ///< the offset that the next record will get
  std::vector<Record> m_records;
  bool m_truncated = false; ///< the requested records are no longer kept
};

/// @brief The newest record of each key.
struct Snapshot
{
  Offset m_end = 0; ///< reading on from here misses no record
  std::vector<Record> m_records;
};

/// @brief Result of an append.
struct AppendResult
{
  bool m_appended = false;
  Offset m_offset = 0; ///< of the record, if it was appended
  Offset m_end = 0;    ///< the topic's end, if the condition did not hold
};

template<typename T>
using Done = std::function<void(base::Result<T>)>;

/// @brief An append-only log of topics that the platform provides. The records of a topic have a
/// total order.
class RecordLog
{
public:
  virtual ~RecordLog() = default;
  /// @brief Reads the newest record of every key of a keyed topic.
  virtual void ReadSnapshot(const std::string& aTopic, Done<Snapshot> aDone) = 0;
  /// @brief Reads the records from an offset on.
  /// @param aWait how long the log may wait for the first record; zero: it replies at once
  /// @param aReplyTimeout how long to wait for the reply beyond aWait
  virtual void Read(const std::string& aTopic,
                    Offset aFrom,
                    base::Duration aWait,
                    base::Duration aReplyTimeout,
                    Done<Batch> aDone) = 0;
  /// @brief Appends one record if the topic ends at aExpectedEnd.
  /// After a failure the record may have been appended, or may still be appended seconds later.
  virtual void Append(const std::string& aTopic,
                      std::string_view aRecord,
                      Offset aExpectedEnd,
                      Done<AppendResult> aDone) = 0;
  /// @brief Appends a record to a keyed topic without a condition; for keys that have a single
  /// writer. A failure means the same as that of Append().
  virtual void AppendKeyed(const std::string& aTopic,
                           std::string_view aKey,
                           std::string_view aValue,
                           Done<AppendResult> aDone) = 0;
  /// @brief Appends a record to a keyed topic if that ends at aExpectedEnd. A failure means the
  /// same as that of Append().
  virtual void AppendKeyedAt(const std::string& aTopic,
                             std::string_view aKey,
                             std::string_view aValue,
                             Offset aExpectedEnd,
                             Done<AppendResult> aDone) = 0;
};

} // namespace ferrytray::store
