#pragma once

#include <cstdint>  // for uint64_t
#include <optional> // for optional
#include <string>   // for string

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::control {

struct OrderLeaseOptions
{
  /// A record gives its holder the lease for so long. Short, since a dead holder's successor
  /// has to wait it out within the time that a roll-out may take.
  base::Duration m_duration = std::chrono::milliseconds(1000);
  base::Duration m_renewEvery = std::chrono::milliseconds(350);
  /// Held back at the end, for a send that is under way.
  base::Duration m_sendMargin = std::chrono::milliseconds(400);
  /// Endpoints that ignore fencing numbers need so long between two holders (settings).
  base::Duration m_handoverGap = std::chrono::milliseconds(3000);
};

/// @brief One host's view of the right to give orders. Pure.
///
/// The lease is a topic whose records each name a holder. A record is appended only on the
/// condition that the topic ends where its writer has read to, so all writers are in one order and
/// the newest record is the holder. A reader cannot know a record's age: it counts the
/// duration from when it first read the record, and its own record's from before it was sent, so
/// that the old holder always stops before a new one begins. The topic's end after the record is
/// the fencing number.
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
  /// @param aHolder who wrote the newest record; empty if there is none
  void OnRead(std::uint64_t aEnd, const std::string& aHolder, base::TimePoint aNow);
  void OnAppendSent(base::TimePoint aNow);
  void OnAppendAccepted(std::uint64_t aOffset, base::TimePoint aNow);
  /// @brief The append was refused or its answer was lost: the topic has to be read again.
  void OnAppendUncertain();

  /// @brief Whether the topic's end has to be read before anything else.
  [[nodiscard]] bool NeedsRead() const { return !m_endKnown; }
  /// @brief Whether to append a record now, to take or to renew the lease.
  [[nodiscard]] bool ShouldAppend(base::TimePoint aNow) const;
  /// @brief Whether an order may be sent at this moment. Check just before each send.
  [[nodiscard]] bool MaySendOrder(base::TimePoint aNow) const;
  [[nodiscard]] std::uint64_t CurrentFencingToken() const { return m_fencingToken; }
  /// @brief Who wrote the newest record that was read or appended.
  [[nodiscard]] const std::string& Holder() const { return m_holder; }
  [[nodiscard]] std::uint64_t End() const { return m_endOffset; }
  /// @brief Gives the lease up at once, such as after the process stood still.
  void Drop();

private:
  std::string m_self;
  OrderLeaseOptions m_options;
  std::uint64_t m_endOffset = 0; ///< as last read; only a hint unless m_endKnown
  bool m_endKnown = false;
  std::string m_holder;
  std::optional<base::TimePoint> m_otherHolderUntil; ///< another holder may give orders until then
  std::uint64_t m_fencingToken = 0;
  std::optional<base::TimePoint> m_sentAt; ///< of the append that is under way or was unsure
  std::optional<base::TimePoint> m_heldSince;
  bool m_appending = false;
};

} // namespace ferrytray::control
