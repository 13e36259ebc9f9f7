#pragma once

#include <cstddef>    // for size_t
#include <cstdint>    // for uint32_t
#include <functional> // for function
#include <map>        // for map
#include <optional>   // for optional
#include <random>     // for mt19937_64
#include <span>       // for span
#include <string>     // for string

#include "ferrytray/base/known_age.hpp"            // for MayBeBehind
#include "ferrytray/base/time.hpp"                 // for TimePoint
#include "ferrytray/cache/part_planner.hpp"        // for PartPlanner, Stores
#include "ferrytray/fleet/configuration_index.hpp" // for ConfigurationPtr
#include "ferrytray/fleet/directory.hpp"           // for Directory
#include "ferrytray/fleet/named_weights.hpp"       // for NamedWeightsHistory
#include "ferrytray/limits/admission_limit.hpp"    // for AdmissionLimit
#include "ferrytray/limits/brittle_services.hpp"   // for BrittleServices
#include "ferrytray/limits/endpoint_backoffs.hpp"  // for EndpointBackoffs
#include "ferrytray/limits/endpoint_limits.hpp"    // for EndpointLimits
#include "ferrytray/limits/permit_table.hpp"       // for PermitTable
#include "ferrytray/limits/retry_window.hpp"       // for RetryWindow
#include "ferrytray/limits/wait_estimate.hpp"      // for WaitEstimate
#include "ferrytray/net/http_client.hpp"           // for HttpClient
#include "ferrytray/net/loop.hpp"                  // for Loop
#include "ferrytray/peers/backoff_table.hpp"       // for BackoffTable
#include "ferrytray/peers/incarnation_table.hpp"   // for IncarnationTable
#include "ferrytray/peers/load_table.hpp"          // for LoadTable
#include "ferrytray/peers/reload_table.hpp"        // for ReloadTable
#include "ferrytray/quarantine/crash_tracker.hpp"  // for CrashTracker
#include "ferrytray/relay/attempt_policy.hpp"      // for AttemptLimits
#include "ferrytray/relay/prompt_placement.hpp"    // for PromptPlacement
#include "ferrytray/relay/wire_format.hpp"         // for WireFormat
#include "ferrytray/routing/cold_starts.hpp"       // for ColdStarts
#include "ferrytray/routing/endpoint_tracker.hpp"  // for EndpointTracker
#include "ferrytray/routing/reachability.hpp"      // for ReachabilityMonitor
#include "ferrytray/store/unreadable_records.hpp"  // for UnreadableRecords
#include "ferrytray/telemetry/metrics.hpp"         // for Metrics

namespace ferrytray::relay {

class CrashReporter;
class Forwarder;
class PermitClient;
class PromptDispatcher;
class SlotClient;

/// @brief Limits of what callers have not read yet of their streams.
struct UnreadLimits
{
  std::size_t m_allReplies = 32U << 20U;   ///< bytes; shared equally by the open requests
  std::size_t m_minPerReply = 8U << 10U;   ///< bytes; several events
  std::size_t m_maxPerReply = 256U << 10U; ///< bytes
  /// A caller that reads nothing for this long is disconnected. Endpoints break off a reply that
  /// they cannot write for some seconds.
  base::Duration m_maxTime = std::chrono::seconds(3);
  /// Receive buffer of a connection to an endpoint (bytes): what the system receives while the
  /// endpoint has to wait. Linux grows it to megabytes otherwise.
  int m_receiveBuffer = 32 << 10;
};

/// @brief Settings of a host's exchanges.
struct RelayOptions
{
  std::string m_zone;           ///< this host's availability zone
  peers::HostKey m_hostKey = 0; ///< of this host, in notices to other hosts
  AttemptLimits m_attempts;
  limits::RetryWindowOptions m_retries;
  /// Maximum age of the operators' records at which this host still answers 401 or 404. Beyond it,
  /// a newer configuration may be in force, so the answer is 503. Reads of other topics do not
  /// count.
  base::Duration m_maxDenialAge = std::chrono::milliseconds(1800);
  /// A new connection within a region takes about a millisecond, and a lost SYN is sent again only
  /// after a second, so it is better to try another endpoint much earlier. With 400 ms and a zone
  /// cut off, failures and late answers each rose by 1 in 1,000 requests.
  base::Duration m_connectTimeout = std::chrono::milliseconds(200);
  /// The same while connects fail: a connect that is given up too early costs a hop through another
  /// host, a late one delays the caller.
  base::Duration m_suspectConnectTimeout = std::chrono::milliseconds(60);
  /// An endpoint that acknowledges nothing for this long is cut off or gone. More than two
  /// intervals between keep-alive probes (1 s): one unanswered probe must not end the connection of
  /// an endpoint that is silent for a second.
  base::Duration m_peerTimeout = std::chrono::milliseconds(2100);
  /// Number of hosts that share an endpoint's connection limit equally.
  std::uint32_t m_hostsSharing = 10;
  /// How long after a new weight version was named requests may still start on an older one. This
  /// is the setting less the time that a request may wait at an engine and the time until a host
  /// reads the record.
  base::Duration m_weightsDue = std::chrono::milliseconds(10500);
  /// Retry-After of requests that were not executed.
  base::Duration m_retryAfterDelay = std::chrono::milliseconds(250);
  /// Retry-After of quarantined requests; an early retry would be refused again.
  base::Duration m_quarantineRetryAfterDelay = std::chrono::seconds(60);
  /// The same after the time of the next probe, whose answer may end the quarantine.
  base::Duration m_probedRetryAfterDelay = std::chrono::seconds(1);
  /// Fraction of the route's target latency in which fetches of a prompt's parts must end; the rest
  /// is left for recomputing the parts. A slow or congested store thus delays replies but seldom
  /// beyond the target: with one store slowed to a quarter on calm days, 1.4 in 100 short prompts
  /// were late, and 5 in 100 with a fixed bound of 2 s.
  double m_fetchShare = 0.58;
  /// All hosts together may send a cold endpoint m_coldOvershoot times its declared rate plus
  /// m_coldSlack requests per second (settings).
  double m_coldOvershoot = 1;
  double m_coldSlack = 0;
  UnreadLimits m_unread;
  /// A longer reply that is not streamed counts as broken (bytes).
  std::size_t m_maxReplyBytes = 16U << 20U;
};

/// Notices reach all hosts within a second. They are kept longer, since the endpoint's entry may be
/// read again after an outage of the record log.
inline constexpr peers::IncarnationTableOptions kLeavingNotices{ std::chrono::seconds(5),
                                                                 std::chrono::minutes(30) };

/// @brief State shared by all exchanges of a host.
struct RelayCore
{
  RelayCore(net::Loop& aLoop,
            net::HttpClient& aClient,
            const WireFormat& aFormat,
            RelayOptions aOptions)
    : m_loop(aLoop)
    , m_client(aClient)
    , m_format(aFormat)
    , m_options(std::move(aOptions))
    , m_retryWindow(m_options.m_retries)
    , m_namedWeights(m_options.m_weightsDue)
  {
  }

  net::Loop& m_loop;
  net::HttpClient& m_client;
  const WireFormat& m_format;
  RelayOptions m_options;
  fleet::ConfigurationPtr m_configuration; ///< null until the first one is read
  fleet::Directory m_directory;
  routing::EndpointTracker m_endpointTracker;
  routing::ReachabilityMonitor m_reachability;
  routing::ColdStarts m_coldStarts;
  /// Whether this host is among the first aFirst hosts by a hash of aName; false while the other
  /// hosts are unknown. If unset: false.
  std::function<bool(const std::string& aName, std::size_t aFirst)> m_isAmongFirstHosts;
  /// Called when another endpoint answered at the incarnation's address. May be unset.
  std::function<void(const std::string& aIncarnation)> m_onEndpointReplaced;
  quarantine::CrashTracker m_crashes;       ///< content that crashes the endpoints that run it
  CrashReporter* m_crashReporter = nullptr; ///< null: broken connections are reported at once
  /// Whether the crash tracker holds the quarantine records of the record log. Nothing is sent to
  /// endpoints before that: hosts that restart one after the other, or all at once, would each send
  /// quarantined requests again.
  bool m_crashesLoaded = false;
  /// Called when this host changed the crash tracker. May be unset.
  std::function<void(std::span<const quarantine::ContentKey>)> m_onCrashesChanged;
  /// Asks whether this host may send a request with quarantined content as a probe; the callback is
  /// called once. If unset: no probes.
  std::function<void(std::span<const quarantine::ContentKey>, std::function<void(bool)>)>
    m_claimProbe;
  peers::LoadTable m_peerLoads; ///< load of the other hosts
  peers::ReloadTable m_reloads; ///< engines that are loading weights
  limits::RetryWindow m_retryWindow;
  /// Endpoints that have announced their shutdown in an answer, to this host or another one.
  peers::IncarnationTable m_announcedLeaving{ kLeavingNotices };
  limits::EndpointLimits m_endpointLimits;     ///< by peers::KeyOf() the incarnation
  limits::EndpointBackoffs m_endpointBackoffs; ///< by the same key
  peers::BackoffTable m_reportedBackoffs;      ///< requested from any host
  limits::PermitTable m_permits;               ///< for limited endpoints, by the same key
  limits::BrittleServices m_brittleServices;
  limits::PermitTable m_slotDenials;  ///< of brittle endpoints, by the same key
  SlotClient* m_slotClient = nullptr; ///< null: brittle endpoints get requests without slots
  std::map<std::string, limits::WaitEstimate> m_slotWaits; ///< by service
  std::map<std::string, std::size_t> m_waitingForSlot;     ///< number of requests, by service
  PermitClient* m_permitClient = nullptr;                  ///< null: limits are not enforced
  Forwarder* m_forwarder = nullptr; ///< null: no request is forwarded to other hosts
  std::map<std::string, limits::AdmissionLimit> m_admissionLimits; ///< by service
  PromptPlacement m_promptPlacement;
  PromptDispatcher* m_dispatcher = nullptr; ///< null: this host chooses engines itself
  cache::Stores m_stores;
  cache::PartPlanner m_partPlanner;
  telemetry::Metrics m_metrics;
  store::UnreadableRecords m_unreadable{ &m_metrics };
  std::mt19937_64 m_random{ std::random_device{}() };
  std::map<std::string, fleet::WeightVersion> m_desiredWeights; ///< newest named version, by model
  fleet::NamedWeightsHistory m_namedWeights;                    ///< when versions were named
  std::optional<base::TimePoint> m_lastContact;                 ///< with the record log
  /// All entries of the directory that were written before this time are known.
  std::optional<base::TimePoint> m_directoryReadAt;
  /// All operator records written before this time are known: the last completed read of the topic
  /// began then, at this host or at the host that forwards the records.
  std::optional<base::TimePoint> m_operatorsReadAt;
  std::size_t m_openExchanges = 0;           ///< exchanges that have not finished
  std::size_t m_openForwards = 0;            ///< those whose request another host has forwarded
  base::TimePoint m_nextInvalidHeaderLine{}; ///< when the next one may be logged
  bool m_stopping = false;                   ///< a planned shutdown has begun
  bool m_refusesNewRequests = false; ///< late phase of the shutdown: new requests are refused

  /// @brief Maximum age of the operators' records known here (ms); -1: none have been read yet.
  [[nodiscard]] long OperatorsAgeMillis(base::TimePoint aNow) const
  {
    return m_operatorsReadAt ? base::ToMillis(aNow - *m_operatorsReadAt) : -1;
  }
  /// @brief Whether a newer configuration that this host has not read may be in force.
  [[nodiscard]] bool MayBeStale(base::TimePoint aNow) const
  {
    return base::MayBeBehind(m_operatorsReadAt, m_options.m_maxDenialAge, aNow);
  }
};

} // namespace ferrytray::relay
