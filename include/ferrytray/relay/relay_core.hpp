#pragma once

#include <cstddef>    // for size_t
#include <cstdint>    // for uint32_t
#include <functional> // for function
#include <map>        // for map
#include <optional>   // for optional
#include <random>     // for mt19937_64
#include <string>     // for string

#include "ferrytray/base/known_age.hpp"            // for MayBeBehind
#include "ferrytray/base/time.hpp"                 // for TimePoint
#include "ferrytray/cache/part_planner.hpp"        // for PartPlanner, Stores
#include "ferrytray/fleet/configuration_index.hpp" // for ConfigurationPtr
#include "ferrytray/fleet/directory.hpp"           // for Directory
#include "ferrytray/fleet/named_weights.hpp"       // for NamedWeightsLog
#include "ferrytray/limits/admission_limit.hpp"    // for AdmissionLimit
#include "ferrytray/limits/retry_window.hpp"       // for RetryWindow
#include "ferrytray/net/http_client.hpp"           // for HttpClient
#include "ferrytray/net/loop.hpp"                  // for Loop
#include "ferrytray/peers/load_board.hpp"          // for LoadBoard
#include "ferrytray/peers/reload_board.hpp"        // for ReloadBoard
#include "ferrytray/quarantine/crash_board.hpp"    // for CrashBoard
#include "ferrytray/relay/attempt_policy.hpp"      // for AttemptLimits
#include "ferrytray/relay/prompt_placement.hpp"    // for PromptPlacement
#include "ferrytray/relay/wire_format.hpp"         // for WireFormat
#include "ferrytray/routing/cold_starts.hpp"       // for ColdStarts
#include "ferrytray/routing/endpoint_tracker.hpp"  // for EndpointTracker
#include "ferrytray/store/unreadable_records.hpp"  // for UnreadableRecords
#include "ferrytray/telemetry/metrics.hpp"         // for Metrics

namespace ferrytray::relay {

class PromptDispatcher;

struct RelayOptions
{
  std::string m_zone; ///< this host's availability zone
  AttemptLimits m_attempts;
  limits::RetryWindowOptions m_retries;
  /// Without news of the operators' topic for longer, a configuration that this host does not know
  /// of may be in force: what looks unknown is then refused with 503, not 401 or 404. Other topics'
  /// reads say nothing of it.
  base::Duration m_deniesWithin = std::chrono::milliseconds(1800);
  /// A new connection within a region takes about a millisecond; a lost opening packet is sent
  /// again only after a second, so another endpoint is the better choice long before. 400 ms cost
  /// 1 in 1,000 requests more in failures and as many in late answers while a zone was cut off.
  base::Duration m_connectTimeout = std::chrono::milliseconds(200);
  /// An endpoint that acknowledges nothing for so long is cut off or gone.
  base::Duration m_peerTimeout = std::chrono::milliseconds(1500);
  /// One host's part of an endpoint's connections: this many hosts can share it.
  std::uint32_t m_hostsSharing = 10;
  /// Requests begin on no older weights from so long after newer ones were named (settings, less
  /// the time for which a request may wait at an engine and that in which a host hears of the
  /// name).
  base::Duration m_weightsDue = std::chrono::milliseconds(10500);
  /// When a caller whose request was not run should come back.
  base::Duration m_comeBack = std::chrono::milliseconds(250);
  /// The same for a request that ends the endpoints that run it: asking again soon is of no use.
  base::Duration m_comeBackQuarantined = std::chrono::seconds(60);
  /// Fetches of a prompt's parts end within this part of its route's target. What is left is for
  /// reading the prompt instead, so that a store whose link is slow or crowded makes an answer
  /// later, but seldom late: of the short prompts of calm days with one store slowed to a quarter,
  /// 1.4 in 100 were late instead of 5 with a bound of 2 s.
  double m_fetchShare = 0.58;
  /// What all hosts together may send to a cold endpoint in a second: this many times what it
  /// bears, and so many more (settings).
  double m_coldOvershoot = 1;
  double m_coldSlack = 0;
  /// A plain answer over this size breaks off (bytes).
  std::size_t m_maxAnswerBytes = 16U << 20U;
};

/// @brief What all exchanges of a host share.
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
    , m_retries(m_options.m_retries)
    , m_named(m_options.m_weightsDue)
  {
  }

  net::Loop& m_loop;
  net::HttpClient& m_client;
  const WireFormat& m_format;
  RelayOptions m_options;
  fleet::ConfigurationPtr m_configuration; ///< null until the first one is read
  fleet::Directory m_directory;
  routing::EndpointTracker m_board;
  routing::ColdStarts m_cold;
  /// Whether this host is among the first so many hosts by a hash of that name; false while the
  /// other hosts are unknown. Unset: never.
  std::function<bool(const std::string& aName, std::size_t aFirst)> m_isAmongHosts;
  /// Another endpoint answered at that incarnation's address. Unset: nobody is told.
  std::function<void(const std::string& aIncarnation)> m_onReplaced;
  quarantine::CrashBoard m_crashes; ///< requests that end the endpoints that run them
  /// What the record log has of those is known here. Until then nothing is sent to endpoints: hosts
  /// that start anew, one after the other or all at once, would each try such requests again.
  bool m_crashesLoaded = false;
  /// This host added to the crash board. Unset: nobody is told.
  std::function<void(const quarantine::RequestKey&)> m_onCrashesChanged;
  /// Whether this host may send a request once more that is kept away; answers once. Unset: never.
  std::function<void(const quarantine::RequestKey&, std::function<void(bool)>)> m_claimTry;
  peers::LoadBoard m_otherLoads; ///< other hosts' requests
  peers::ReloadBoard m_reloads;  ///< engines that load weights
  limits::RetryWindow m_retries;
  std::map<std::string, limits::AdmissionLimit> m_admission; ///< by service
  PromptPlacement m_placement;
  PromptDispatcher* m_dispatcher = nullptr; ///< null: each host chooses engines by itself
  cache::Stores m_stores;
  cache::PartPlanner m_parts;
  telemetry::Metrics m_metrics;
  store::UnreadableRecords m_unreadable{ &m_metrics };
  std::mt19937_64 m_random{ std::random_device{}() };
  std::map<std::string, fleet::WeightVersion> m_wanted; ///< newest named weights, by model
  fleet::NamedWeightsLog m_named;                       ///< when those were named
  std::optional<base::TimePoint> m_lastContact;         ///< with the record log
  /// Whatever operators had said by then is known here: the read of their topic that last ended was
  /// begun then, by this host or by the one that passes its records on.
  std::optional<base::TimePoint> m_operatorsHeardAt;
  std::size_t m_open = 0;       ///< exchanges that have not ended
  bool m_leaving = false;       ///< a planned stop has begun
  bool m_beginsNothing = false; ///< the stop is near: new requests are refused

  /// @brief How old what operators said may be here (ms); -1: nothing has been read yet.
  [[nodiscard]] long OperatorsAgeMillis(base::TimePoint aNow) const
  {
    return m_operatorsHeardAt ? base::ToMillis(aNow - *m_operatorsHeardAt) : -1;
  }
  /// @brief Whether a configuration that this host has not read may be in force.
  [[nodiscard]] bool MayBeBehind(base::TimePoint aNow) const
  {
    return base::MayBeBehind(m_operatorsHeardAt, m_options.m_deniesWithin, aNow);
  }
};

} // namespace ferrytray::relay
