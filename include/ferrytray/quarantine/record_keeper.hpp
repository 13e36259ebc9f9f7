#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint8_t
#include <functional>    // for function
#include <optional>      // for optional
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/base/digest.hpp"              // for DigestHash
#include "ferrytray/base/time.hpp"                // for Duration, TimePoint
#include "ferrytray/quarantine/crash_tracker.hpp" // for CrashTracker, Suspicion

namespace ferrytray::quarantine {

/// @brief A host's role in recording content; later roles take over if earlier ones fail.
enum class WriterRole : std::uint8_t
{
  Primary,   ///< among the first hosts in the content's hash order
  LogReader, ///< reads the record log on behalf of other hosts
  NonWriter, ///< records only what it observed itself
};

struct RecordReconcilerOptions
{
  /// A single crash is not recorded: every broken connection has one, and hosts exchange them
  /// directly.
  std::size_t m_minCrashesToRecord = 2;
  /// For parts at a host that observed the crash itself, which records whole requests without
  /// delay. Popular parts are cleared before that.
  base::Duration m_partDelay = std::chrono::milliseconds(250);
  base::Duration m_primaryDelay = std::chrono::milliseconds(700);
  base::Duration m_readerDelay = std::chrono::milliseconds(2500);
  base::Duration m_retryDelay = std::chrono::milliseconds(500);
};

/// @brief A record to write, or to remove if there is no suspicion.
struct RecordWrite
{
  ContentKey m_content;
  std::optional<Suspicion> m_suspicion;
};

/// @brief Determines the writes that bring the record log in line with the crash tracker, so that
/// suspicions survive the loss of all hosts. Performs no I/O.
class RecordReconciler
{
public:
  explicit RecordReconciler(RecordReconcilerOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief This host observed a crash with the content or a complete answer.
  void OnLocalObservation(const ContentKey& aContent)
  {
    m_entries[aContent].m_observedLocally = true;
  }
  /// @brief The content's record was read; empty if the log has none.
  void OnRecordRead(const ContentKey& aContent, std::optional<Suspicion> aRecorded);
  /// @brief A write has finished. @param aSucceeded whether it is confirmed
  void OnWriteFinished(const RecordWrite& aWrite, bool aSucceeded, base::TimePoint aNow);
  /// @brief Returns the writes that this host has to start now.
  [[nodiscard]] std::vector<RecordWrite> DueWrites(
    const CrashTracker& aTracker,
    const std::function<WriterRole(const ContentKey&)>& aRoleOf,
    base::TimePoint aNow);
  /// @brief Returns the content that has a record in the log.
  [[nodiscard]] std::vector<ContentKey> RecordedContent() const;

private:
  struct Entry
  {
    std::optional<Suspicion> m_recorded;
    std::optional<base::TimePoint> m_outOfDateSince;
    std::optional<base::TimePoint> m_retryAt; ///< set after a failed write
    bool m_observedLocally = false;
    bool m_writing = false;
  };

  [[nodiscard]] std::optional<Suspicion> DesiredRecord(const CrashTracker& aTracker,
                                                       const ContentKey& aContent) const;
  [[nodiscard]] std::optional<base::Duration> DelayOf(const ContentKey& aContent,
                                                      const Entry& aEntry,
                                                      WriterRole aRole) const;

  RecordReconcilerOptions m_options;
  std::unordered_map<ContentKey, Entry, base::DigestHash> m_entries;
};

} // namespace ferrytray::quarantine
