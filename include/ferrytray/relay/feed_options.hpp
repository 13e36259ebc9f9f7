#pragma once

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::relay {

/// @brief By when a host has to act on what it reads from the record log (settings).
struct LogBounds
{
  base::Duration m_configurationDue{}; ///< after a configuration was acknowledged
  base::Duration m_evacuationDue{};    ///< after a zone's evacuation was
  base::Duration m_revocationDue{};    ///< after an account's key was taken away
  base::Duration m_drain{};            ///< a leaving endpoint may still get requests for so long
};

/// @brief How the two topics of the record log are followed.
struct FeedOptions
{
  /// New configurations and weights wake a read that is held open for so long.
  base::Duration m_operatorWait = std::chrono::seconds(20);
  /// The same for a while after the log was away; a part of the time in which a configuration has
  /// to be in force, so that a lost read costs less than that.
  base::Duration m_operatorWaryWait = std::chrono::milliseconds(800);
  /// For an answer beyond the wait.
  base::Duration m_operatorPatience = std::chrono::milliseconds(600);
  /// What another host passes on of the operators' topic counts for so long after the log answered
  /// that host.
  base::Duration m_operatorNewsFresh = std::chrono::milliseconds(1300);
  /// Between two reads of the directory; a part of the time that a leaving endpoint may still get
  /// requests.
  base::Duration m_endpointPause = std::chrono::milliseconds(600);
  /// The same while other hosts follow through this one.
  base::Duration m_endpointServingPause = std::chrono::milliseconds(600);
  /// What another host passes on of the directory counts for so long after the log answered that
  /// host.
  base::Duration m_endpointNewsFresh = std::chrono::milliseconds(1300);
};

/// @brief The figures that keep these bounds.
[[nodiscard]] FeedOptions FeedOptionsFor(const LogBounds& aBounds);

/// @brief Without news of the operators' topic for longer, a host may not know the configuration
/// that is in force, and denies nothing by the one that it has.
[[nodiscard]] base::Duration DeniesWithin(const LogBounds& aBounds);

} // namespace ferrytray::relay
