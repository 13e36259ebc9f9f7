#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint8_t
#include <functional>    // for function
#include <optional>      // for optional
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/base/digest.hpp"            // for DigestHash
#include "ferrytray/base/time.hpp"              // for Duration, TimePoint
#include "ferrytray/quarantine/crash_board.hpp" // for CrashTracker, Suspicion

namespace ferrytray::quarantine {

/// @brief Which hosts record something, the later ones in case the earlier ones are gone.
enum class WriterRole : std::uint8_t
{
  Primary,   ///< among the first hosts by a hash of the request
  LogReader, ///< reads the record log for others
  NonWriter, ///< leaves it to those
};

struct RecordReconcilerOptions
{
  /// One end is recorded nowhere: whatever breaks off has one, and hosts tell each other.
  std::size_t m_minCrashesToRecord = 2;
  /// Whoever saw an end itself records it at once.
  base::Duration m_primaryDelay = std::chrono::milliseconds(700);
  base::Duration m_readerDelay = std::chrono::milliseconds(2500);
  base::Duration m_retryDelay = std::chrono::milliseconds(500);
};

/// @brief A record to write; without a suspicion, to remove.
struct RecordWrite
{
  RequestKey m_request;
  std::optional<Suspicion> m_suspicion;
};

/// @brief Keeps the recorded suspicions as the crash board has them, so that they outlast every
/// host. Pure.
class RecordReconciler
{
public:
  explicit RecordReconciler(RecordReconcilerOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief This host saw an end of the request, or a whole answer to it.
  void OnLocalObservation(const RequestKey& aRequest)
  {
    m_entries[aRequest].m_observedLocally = true;
  }
  /// @brief The record log has this of the request; empty: nothing.
  void OnRecordRead(const RequestKey& aRequest, std::optional<Suspicion> aRecorded);
  /// @brief A write has ended. @param aSucceeded it is known to have been done
  void OnWriteFinished(const RecordWrite& aWrite, bool aSucceeded, base::TimePoint aNow);
  /// @brief What this host is to write now.
  [[nodiscard]] std::vector<RecordWrite> DueWrites(
    const CrashTracker& aTracker,
    const std::function<WriterRole(const RequestKey&)>& aRoleOf,
    base::TimePoint aNow);
  /// @brief Requests that the record log has something of.
  [[nodiscard]] std::vector<RequestKey> RecordedRequests() const;

private:
  struct Entry
  {
    std::optional<Suspicion> m_recorded;
    std::optional<base::TimePoint> m_outOfDateSince;
    std::optional<base::TimePoint> m_retryAt; ///< after a write that failed
    bool m_observedLocally = false;
    bool m_writing = false;
  };

  [[nodiscard]] std::optional<Suspicion> DesiredRecord(const CrashTracker& aTracker,
                                                       const RequestKey& aRequest) const;
  [[nodiscard]] std::optional<base::Duration> DelayOf(const Entry& aEntry, WriterRole aRole) const;

  RecordReconcilerOptions m_options;
  std::unordered_map<RequestKey, Entry, base::DigestHash> m_entries;
};

} // namespace ferrytray::quarantine
