#pragma once

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::relay {

/// @brief Time limits within which a host must act on records of the record log (settings).
struct PropagationBounds
{
  base::Duration m_configurationDue{}; ///< after the configuration was acknowledged
  base::Duration m_evacuationDue{};    ///< after the zone's evacuation was acknowledged
  base::Duration m_revocationDue{};    ///< after the account's key was revoked
  base::Duration m_quarantineDue{};    ///< after the third endpoint crash of one request
  base::Duration m_drain{};            ///< how long a leaving endpoint may still receive requests
  /// Interval at which endpoints renew their directory entries. Three missed heartbeats remove one.
  base::Duration m_heartbeat = std::chrono::milliseconds(1200);
};

/// @brief How a host follows the topics of the record log.
struct FeedOptions
{
  /// Long-poll time of reads of the operators' topic. The log may hold a read open and not answer
  /// it although a record is there, without any sign of it at the host. By the host's own clock its
  /// state is therefore up to two wait times old, plus the grace time if one read is not answered.
  base::Duration m_operatorWait = std::chrono::milliseconds(500);
  /// Time allowed for an answer after the long-poll time.
  base::Duration m_operatorGrace = std::chrono::milliseconds(600);
  /// Maximum age of operator records received from another host, measured from when that host began
  /// its last answered read.
  base::Duration m_operatorPeerMaxAge = std::chrono::milliseconds(1700);
  /// Maximum random delay of the read of the operators' topic after the records received from
  /// another host have become too old: what the bound leaves besides the read itself.
  base::Duration m_operatorTakeoverDelay{};
  /// Pause between two reads of the directory; a fraction of the time for which a leaving endpoint
  /// may still receive requests.
  base::Duration m_endpointPause = std::chrono::milliseconds(600);
  /// The same while other hosts follow the directory through this one.
  base::Duration m_endpointServingPause = std::chrono::milliseconds(600);
  /// Maximum age of directory records received from another host, measured from the log's last
  /// answer to that host.
  base::Duration m_endpointPeerMaxAge = std::chrono::milliseconds(1300);
  /// The same as m_operatorTakeoverDelay for the directory.
  base::Duration m_endpointTakeoverDelay{};
  /// Shortest time without an answer of the log that counts as an outage in which entries of the
  /// directory may have expired.
  base::Duration m_minEndpointOutage = std::chrono::milliseconds(2500);
  /// Long-poll time of reads of the quarantine topic. Long because every read is charged; an
  /// unanswered read does no harm, as hosts also send each other the contents.
  base::Duration m_quarantineWait = std::chrono::seconds(10);
  /// Interval at which a host that hears from no other host reads the quarantine topic.
  base::Duration m_quarantineIsolatedInterval = std::chrono::milliseconds(1500);
  /// Time allowed for an answer after the quarantine long-poll time.
  base::Duration m_quarantineGrace = std::chrono::milliseconds(600);
  /// Maximum age of quarantine records received from another host, measured from when that host
  /// began its last answered read: two long-poll times and what relaying takes.
  base::Duration m_quarantinePeerMaxAge = std::chrono::seconds(23);
  /// The same as m_operatorTakeoverDelay for the quarantine topic.
  base::Duration m_quarantineTakeoverDelay{};
};

/// @brief Options that keep these bounds.
[[nodiscard]] FeedOptions FeedOptionsFor(const PropagationBounds& aBounds);

/// @brief Maximum age of the operators' records at which a host still denies requests. Beyond it,
/// the configuration in force may be one that the host has not read.
[[nodiscard]] base::Duration MaxDenialAge(const PropagationBounds& aBounds);

} // namespace ferrytray::relay
