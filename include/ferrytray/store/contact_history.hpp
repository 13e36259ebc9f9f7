#pragma once

#include <optional> // for optional

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::store {

/// @brief A period throughout which a log answered reads, without a gap that counts as an outage.
struct ContactPeriod
{
  base::TimePoint m_begin; ///< first answer
  base::TimePoint m_end;   ///< last answer
};

/// @brief A period in which a log answered no host that is known.
struct LogOutage
{
  base::TimePoint m_begin; ///< last contact before it
  base::TimePoint m_end;   ///< first contact after it
};

/// @brief Detects outages of a log from the answers that this host and others received. Does no
/// I/O.
///
/// A failed read shows only that the log did not answer this host: its link may have failed, or the
/// log may reject some hosts. An outage is a time in which the log answered no host, so it is a gap
/// in the union of the contact periods of all hosts. It is identified by its time, which does not
/// depend on the host that reports it. Hence a change of the source, a restart of the source or a
/// second source can shorten or refute an outage, but never start it again.
class ContactHistory
{
public:
  /// @param aMinOutage a shorter gap between two answers is no outage; must exceed the interval
  /// between two reads of the log
  explicit ContactHistory(base::Duration aMinOutage)
    : m_minOutage(aMinOutage)
  {
  }

  /// @brief Adds a period in which the log answered this host or another one.
  /// @param aUncertainty how much later than stated the period may have been. Reports of one period
  /// that agree within it do not move its begin.
  /// @return whether the end of LastOutage() changed
  bool Add(ContactPeriod aPeriod, base::Duration aUncertainty = {});
  /// @brief Returns the period that contains the latest contact; none before the first contact.
  [[nodiscard]] const std::optional<ContactPeriod>& Current() const { return m_current; }
  /// @brief Returns the outage that preceded the current period; none if no contact before that
  /// period is known.
  [[nodiscard]] std::optional<LogOutage> LastOutage() const;

private:
  [[nodiscard]] std::optional<base::TimePoint> LastOutageEnd() const;

  base::Duration m_minOutage;
  std::optional<ContactPeriod> m_current;
  std::optional<base::TimePoint> m_previousEnd; ///< last contact before the current period
};

} // namespace ferrytray::store
