#pragma once

#include <cstdint>  // for uint64_t
#include <optional> // for optional
#include <string>   // for string

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::control {

struct OrderLeaseOptions
{
  /// Validity of a record. Short, because a failed holder's successor has to wait for its end
  /// within the time limit of a rollout.
  base::Duration m_duration = std::chrono::milliseconds(1000);
  base::Duration m_renewEvery = std::chrono::milliseconds(350);
  /// Reserved at the end of the lease for a send in progress.
  base::Duration m_sendMargin = std::chrono::milliseconds(400);
  /// Minimum time between the orders of two holders, for endpoints that ignore fencing tokens (from
  /// the settings).
  base::Duration m_handoverGap = std::chrono::milliseconds(3000);
};

/// @brief One host's view of the lease that permits sending orders. Performs no I/O.
///
/// The lease is a topic whose records each name a holder. An append succeeds only if the topic
/// still ends where its writer has read to, so writers are serialized and the newest record names
/// the holder. A reader cannot know a record's age. It counts the duration from when it first read
/// another host's record, and from before it sent its own, so the old holder always stops before a
/// new one begins. The topic's end offset after the record is the fencing token.
class OrderLease
{
public:
  OrderLease(std::string aSelf, OrderLeaseOptions aOptions)
    : m_self(std::move(aSelf))
    , m_options(aOptions)
  {
  }

  /// @brief The topic was read to its end.
  /// @param aEnd the offset that the next record will get
  /// @param aHolder writer of the newest record; empty if there is none
  void OnRead(std::uint64_t aEnd, const std::string& aHolder, base::TimePoint aNow);
  void OnAppendSent(base::TimePoint aNow);
  void OnAppendAccepted(std::uint64_t aOffset, base::TimePoint aNow);
  /// @brief The append was refused or its reply was lost, so the topic must be read again.
  void OnAppendUncertain();

  /// @brief Whether the topic must be read to its end before an append.
  [[nodiscard]] bool NeedsRead() const { return !m_endKnown; }
  /// @brief Whether to append a record now to take or renew the lease.
  [[nodiscard]] bool ShouldAppend(base::TimePoint aNow) const;
  /// @brief Whether an order may be sent now. Must be checked immediately before each send.
  [[nodiscard]] bool MaySendOrder(base::TimePoint aNow) const;
  [[nodiscard]] std::uint64_t CurrentFencingToken() const { return m_fencingToken; }
  /// @brief Returns the writer of the newest record read or appended.
  [[nodiscard]] const std::string& Holder() const { return m_holder; }
  [[nodiscard]] std::uint64_t End() const { return m_endOffset; }
  /// @brief Gives up the lease immediately, for example after the process was suspended.
  void Drop();

private:
  std::string m_self;
  OrderLeaseOptions m_options;
  std::uint64_t m_endOffset = 0; ///< as last read; possibly outdated unless m_endKnown
  bool m_endKnown = false;
  std::string m_holder;
  /// When this host may take the lease over: at the end of the lease that was read, plus the
  /// hand-over gap.
  std::optional<base::TimePoint> m_takeoverAt;
  std::uint64_t m_fencingToken = 0;
  /// Send time of the last append, which may be in progress or have an uncertain result.
  std::optional<base::TimePoint> m_sentAt;
  /// Send time of this host's newest record; empty without one or after another host's record.
  std::optional<base::TimePoint> m_heldSince;
  bool m_appending = false;
};

} // namespace ferrytray::control
