#pragma once

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::relay {

/// @brief By when a host has to act on what it reads from the record log (settings).
struct PropagationBounds
{
  base::Duration m_configurationDue{}; ///< after a configuration was acknowledged
  base::Duration m_evacuationDue{};    ///< after a zone's evacuation was
  base::Duration m_revocationDue{};    ///< after an account's key was taken away
  base::Duration m_quarantineDue{};    ///< after a third endpoint ended under one request
  base::Duration m_drain{};            ///< a leaving endpoint may still get requests for so long
};

/// @brief How the topics of the record log are followed.
struct FeedOptions
{
  /// New configurations and weights wake a read that is held open for so long. A log may hold one
  /// open and not answer it although a record is there, and nothing tells the host so: by its own
  /// clock what it knows is as old as two waits at most, and the patience if one is not answered.
  base::Duration m_operatorWait = std::chrono::milliseconds(500);
  /// For an answer beyond the wait.
  base::Duration m_operatorGrace = std::chrono::milliseconds(600);
  /// What another host passes on of the operators' topic counts for so long after that host began
  /// the read that was answered last.
  base::Duration m_operatorPeerMaxAge = std::chrono::milliseconds(1700);
  /// Between two reads of the directory; a part of the time that a leaving endpoint may still get
  /// requests.
  base::Duration m_endpointPause = std::chrono::milliseconds(600);
  /// The same while other hosts follow through this one.
  base::Duration m_endpointServingPause = std::chrono::milliseconds(600);
  /// What another host passes on of the directory counts for so long after the log answered that
  /// host.
  base::Duration m_endpointPeerMaxAge = std::chrono::milliseconds(1300);
  /// New records of requests that end endpoints wake a read that is held open for so long. Hosts
  /// tell each other what is in them, so a read that is never answered costs nothing, and each one
  /// is charged.
  base::Duration m_quarantineWait = std::chrono::seconds(10);
  /// A host that hears of no other one asks for them so often.
  base::Duration m_quarantineIsolatedInterval = std::chrono::milliseconds(1500);
  /// For an answer beyond that wait.
  base::Duration m_quarantineGrace = std::chrono::milliseconds(600);
  /// What another host passes on of these counts for so long after the log answered that host.
  base::Duration m_quarantinePeerMaxAge = std::chrono::seconds(12);
};

/// @brief The figures that keep these bounds.
[[nodiscard]] FeedOptions FeedOptionsFor(const PropagationBounds& aBounds);

/// @brief Without news of the operators' topic for longer, a host may not know the configuration
/// that is in force, and denies nothing by the one that it has.
[[nodiscard]] base::Duration MaxDenialAge(const PropagationBounds& aBounds);

} // namespace ferrytray::relay
