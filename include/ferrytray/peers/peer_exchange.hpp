#pragma once

#include <functional> // for function
#include <map>        // for map
#include <memory>     // for unique_ptr, shared_ptr
#include <optional>   // for optional
#include <set>        // for set
#include <string>     // for string

#include "ferrytray/base/error.hpp"               // for Result
#include "ferrytray/cache/part_planner.hpp"       // for Stores
#include "ferrytray/net/http_client.hpp"          // for HttpClient
#include "ferrytray/net/http_server.hpp"          // for HttpServer
#include "ferrytray/net/loop.hpp"                 // for Loop
#include "ferrytray/peers/exchange_counters.hpp"  // for ExchangeCounters
#include "ferrytray/peers/fallback_reader.hpp"    // for FallbackReader
#include "ferrytray/peers/incarnation_table.hpp"  // for IncarnationTable
#include "ferrytray/peers/messages.hpp"           // for SyncReply, SyncRequest
#include "ferrytray/peers/permit_messages.hpp"    // for PermitReply, PermitRequest
#include "ferrytray/peers/placement_messages.hpp" // for PlacementReply, PlacementRequest
#include "ferrytray/peers/reload_table.hpp"       // for ReloadTable
#include "ferrytray/peers/roster.hpp"             // for Roster
#include "ferrytray/peers/slot_messages.hpp"      // for SlotReply
#include "ferrytray/quarantine/crash_tracker.hpp" // for CrashTracker
#include "ferrytray/store/record_log.hpp"         // for RecordLog
#include "ferrytray/store/topic_follower.hpp"     // for TopicFollower
#include "ferrytray/store/unreadable_records.hpp" // for UnreadableRecords

namespace ferrytray::peers {

struct PeerExchangeOptions
{
  net::Address m_listen;        ///< for other hosts
  std::string m_name;           ///< of this host, the same over its restarts
  std::string m_zone;           ///< its availability zone
  std::uint32_t m_capacity = 0; ///< of its processor and link; only compared
  std::string m_topic;          ///< keyed; each host's record is its Peer
  RosterOptions m_roster;
  /// Between two sync requests; adds up to this much to the age of received data
  /// (ContentsOptions::m_maxAge).
  base::Duration m_pollInterval = std::chrono::milliseconds(300);
  /// The same while other hosts poll this one, since each level of the tree adds to the age.
  base::Duration m_relayPollInterval = std::chrono::milliseconds(150);
  base::Duration m_relayHoldTime = std::chrono::seconds(4); ///< after the last request
  base::Duration m_requestTimeout = std::chrono::milliseconds(700);
  base::Duration m_connectTimeout = std::chrono::milliseconds(300);
  /// Until the first read of the topic of hosts.
  /// @see StartDelay
  base::Duration m_startDelay{};
  /// From the registration of this host to the next read of the hosts. Hosts that start together
  /// register within some hundred milliseconds of each other, and the ones with most capacity must
  /// be known by then; every read is charged.
  base::Duration m_firstHostsReadDelay = std::chrono::milliseconds(500);
  /// Readers read the hosts again after this, in case others have registered since; also the retry
  /// delay.
  base::Duration m_hostsReadRetry = std::chrono::seconds(2);
  base::Duration m_hostsReadInterval = std::chrono::seconds(60);
  base::Duration m_registrationRetry = std::chrono::milliseconds(700);
  /// For the reply to a placement request. It usually takes a millisecond. A good placement saves a
  /// prompt some hundred milliseconds at a busy engine; a long wait would cost as much.
  base::Duration m_placementTimeout = std::chrono::milliseconds(40);
  /// For the reply to a request for permits. The caller's request waits for it.
  base::Duration m_permitTimeout = std::chrono::milliseconds(60);
  /// Once the hosts are known, how long the polled host may take to reply (three sync requests).
  /// Without this wait every host would read the topics, all at once when all of them start.
  base::Duration m_topicRelayTimeout = std::chrono::milliseconds(1000);
  /// How long the polled host may take to relay the complete topics while it replies.
  base::Duration m_maxTopicRelayTimeout = std::chrono::milliseconds(6000);
  /// After the last reply of the polled host, until this host may read the log if it is neither a
  /// reader nor a relay: two requests that were not answered.
  base::Duration m_sourceLostAfter = std::chrono::milliseconds(1400);
  /// Between two changes of a source that lacks records.
  base::Duration m_sourceChangeInterval = std::chrono::seconds(1);
};

/// @brief State that hosts exchange; it is read and written by their other parts, too.
struct SharedState
{
  cache::Stores& m_stores;
  LoadTable& m_loads;
  ReloadTable& m_reloads;
  quarantine::CrashTracker& m_crashes;
  limits::EndpointLimits& m_limits;
  IncarnationTable& m_announcedLeaving; ///< endpoints that have announced their shutdown
  BackoffTable& m_backoffs;
  limits::BrittleServices& m_brittle;
};

/// @brief Exchanges state between hosts: new records of the log and the contents of KV stores, so
/// that only a few hosts have to read them at the source, and the work that each host has open at
/// endpoints.
class PeerExchange
{
public:
  static constexpr std::string_view kPlacementPath = "/placement";
  static constexpr std::string_view kPermitPath = "/permits";
  static constexpr std::string_view kForwardPath = "/forward";
  static constexpr std::string_view kSlotPath = "/slots";

  PeerExchange(net::Loop& aLoop,
               net::HttpClient& aClient,
               store::RecordLog& aLog,
               const SharedState& aState,
               PeerExchangeOptions aOptions);
  /// @brief Starts to listen, reads the topic of hosts, registers this host unless it is listed,
  /// and starts to poll.
  /// @return ListenFailed
  base::Result<void> Start();
  /// @brief Begins a planned stop: requests are rejected from now on, so that other hosts use
  /// another reader.
  void Leave() { m_leaving = true; }
  void Stop();
  /// @brief Sends the reload notices to the other readers now instead of with the next poll.
  void PushReloads();
  /// @brief Sends new notices of the crash tracker now instead of with the next poll.
  void PushCrashes();
  /// @brief Sets the function that is called when another host sent crash notices that were new.
  void OnCrashes(std::function<void()> aCall) { m_onCrashes = std::move(aCall); }
  /// @brief Reports that another endpoint answered at this incarnation's address; sent to other
  /// hosts with the next polls.
  void ReportReplaced(std::string_view aIncarnation);
  /// @brief Sets the function that is called for each incarnation that another host found to be
  /// replaced.
  void OnReplaced(std::function<void(IncarnationKey)> aCall) { m_onReplaced = std::move(aCall); }
  /// @brief Sets the callback for an endpoint that has announced its shutdown to another host.
  void OnLeaving(std::function<void(IncarnationKey)> aCall) { m_onLeaving = std::move(aCall); }
  /// @brief Sets the function that is called when this host starts or stops to read from the stores
  /// itself.
  void OnReaderChange(std::function<void(bool aIsReader)> aCall)
  {
    m_onReaderChange = std::move(aCall);
  }
  /// @brief Sets the function that is called when another host sent reload notices that were new.
  void OnReloads(std::function<void()> aCall) { m_onReloads = std::move(aCall); }
  /// @brief Relays this topic to other hosts and takes it from them; starts to read it from the log
  /// if no other host relays it. Call before Start().
  void AddTopic(std::shared_ptr<store::TopicFollower> aTopic)
  {
    m_topics.push_back(std::move(aTopic));
  }
  /// @brief Sets the function that answers placement requests of other hosts.
  void OnPlacement(std::function<PlacementReply(const PlacementRequest&)> aCall)
  {
    m_onPlacement = std::move(aCall);
  }
  /// @brief Returns the host that places the prompts of a zone's engines, or of all engines if the
  /// zone is empty; none while the hosts are unknown.
  [[nodiscard]] std::optional<Peer> PlacementHost(const std::string& aZone,
                                                  base::TimePoint aNow) const;
  /// @brief Whether this host is among the first aCount hosts in the hash order for a name; false
  /// while the hosts are unknown.
  [[nodiscard]] bool IsAmongFirst(std::string_view aName, std::size_t aCount) const
  {
    return m_hostsKnown && m_roster->IsAmongFirst(aName, aCount);
  }
  /// @brief Whether other hosts are known but none has replied or sent a request for this long.
  [[nodiscard]] bool IsIsolated(base::Duration aFor, base::TimePoint aNow) const
  {
    const bool recentContact = m_lastContactAt && aNow < *m_lastContactAt + aFor;
    return m_roster && m_roster->HostCount() > 1 && !recentContact;
  }
  /// @brief Whether this host reads from the stores and the log directly, for others or because
  /// there are only a few hosts.
  [[nodiscard]] bool IsReader() const { return m_isReader; }
  [[nodiscard]] const std::string& Name() const { return m_options.m_name; }
  [[nodiscard]] const ExchangeCounters& Counters() const { return m_counters; }
  /// @brief Whether that is this host.
  [[nodiscard]] bool IsSelf(const Peer& aPeer) const { return aPeer == m_roster->Self(); }
  /// @brief Asks a host which engine a prompt is to go to.
  /// @param aDone called once; empty if there was no answer in time
  void RequestPlacement(const Peer& aPeer,
                        const PlacementRequest& aRequest,
                        std::function<void(std::optional<PlacementReply>)> aDone);
  /// @brief Sets the function that answers requests for permits of other hosts.
  void OnPermitRequest(std::function<PermitReply(const PermitRequest&)> aCall)
  {
    m_onPermitRequest = std::move(aCall);
  }
  /// @brief Returns the host that issues the permits for an endpoint; none while the hosts are
  /// unknown or if none of them is reachable.
  /// @param aZone availability zone of the endpoint
  /// @param aExcluded names of hosts that must not be selected
  [[nodiscard]] std::optional<Peer> PermitIssuer(limits::EndpointKey aEndpoint,
                                                 const std::string& aZone,
                                                 const std::set<std::string>& aExcluded,
                                                 base::TimePoint aNow) const;
  /// @brief Whether this host issues the permits for an endpoint if all hosts are reachable.
  [[nodiscard]] bool IsFirstPermitIssuer(limits::EndpointKey aEndpoint,
                                         const std::string& aZone) const;
  /// @brief Requests permits from a host.
  /// @param aDone called once; empty if there was no answer in time
  void RequestPermits(const Peer& aPeer,
                      const PermitRequest& aRequest,
                      std::function<void(std::optional<PermitReply>)> aDone);
  /// @brief Sets the function that answers requests for slots of other hosts.
  void OnSlotRequest(std::function<SlotReply(const limits::SlotRequest&)> aCall)
  {
    m_onSlotRequest = std::move(aCall);
  }
  /// @brief Requests slots of a brittle endpoint from a host, or reports open requests to it.
  /// @param aDone called once; empty if there was no answer in time
  void RequestSlots(const Peer& aPeer,
                    const limits::SlotRequest& aRequest,
                    std::function<void(std::optional<SlotReply>)> aDone);
  /// @brief Sets the function that handles requests that other hosts have forwarded.
  void OnForwarded(net::HttpHandler aCall) { m_onForwarded = std::move(aCall); }
  /// @brief Returns the registered hosts that are reachable, without this one; none while the hosts
  /// are unknown.
  [[nodiscard]] std::vector<Peer> ReachableHosts(base::TimePoint aNow) const;
  /// @brief Whether any other host is reachable.
  /// @param aExcluded names of hosts that do not count
  [[nodiscard]] bool AnyHostReachable(const std::set<std::string>& aExcluded,
                                      base::TimePoint aNow) const
  {
    return m_roster && m_roster->AnyReachable(aExcluded, aNow);
  }
  /// @brief Whether the topic of hosts has been read.
  [[nodiscard]] bool HostsKnown() const { return m_hostsKnown; }
  /// @brief Returns the number of known hosts, this one included.
  [[nodiscard]] std::size_t HostCount() const { return m_roster ? m_roster->HostCount() : 1; }
  /// @brief Sets the function that returns the work that this host has open at endpoints.
  void SetOwnLoadsProvider(std::function<EndpointLoads()> aCall) { m_ownLoads = std::move(aCall); }

private:
  /// State of a sync request until its reply arrives.
  struct PendingRequest
  {
    base::TimePoint m_sentAt;
    /// Offset after the last crash notice that the request carries.
    quarantine::NoticeOffset m_crashesSentUpTo = 0;
  };
  /// Per message; the rest is sent with the next one.
  static constexpr std::size_t kMaxCrashNotices = 512;
  /// How far this host and another one have exchanged crash notices.
  struct CrashSyncState
  {
    std::uint64_t m_incarnation = 0; ///< of the other host, from its last reply
    quarantine::NoticeOffset m_sentUpTo = 0;
    quarantine::NoticeOffset m_receivedUpTo = 0;
  };

  void ReadHosts();
  void OnHosts(const base::Result<store::Snapshot>& aResult);
  /// Polling can begin.
  void OnHostsKnown();
  /// The topic of hosts could not be read, or this host could not be registered.
  void OnHostsUnavailable();
  void Register();
  void ScheduleReadHosts(base::Duration aDelay);
  /// Allows or denies takeovers, and changes a source that relays no updates.
  void UpdateTakeover(base::TimePoint aNow);
  /// Whether this host polls more often because others poll it.
  [[nodiscard]] bool IsRelaying(base::TimePoint aNow) const;
  /// Reads the topics that no other host relays.
  void StartTopics();
  void Tick();
  /// Requests store contents, topics and loads from the reader that this host follows.
  void PollSource(const Peer& aSource, base::TimePoint aNow);
  void HandlePlacementRequest(const net::HttpRequest& aRequest,
                              const std::shared_ptr<net::HttpReply>& aReply) const;
  void HandlePermitRequest(const net::HttpRequest& aRequest,
                           const std::shared_ptr<net::HttpReply>& aReply);
  /// Sends a request to another host.
  /// @param aDone called once, with the body of the reply or EndpointUnreachable
  void SendCall(const Peer& aPeer,
                std::string_view aPath,
                std::string aBody,
                base::Duration aTimeout,
                std::function<void(const base::Result<std::string>&)> aDone);
  /// Exchanges loads with another reader.
  void PollReader(const Peer& aReader, base::TimePoint aNow);
  /// Requests only the records of the log, while this host cannot reach the log.
  void PollFallback(base::TimePoint aNow);
  void OnFallbackReply(const Peer& aPeer, base::TimePoint aAskedAt, const SyncReply& aReply);
  [[nodiscard]] std::vector<store::TopicCursor> TopicCursors() const;
  void SendSyncRequest(const Peer& aPeer, const SyncRequest& aSyncRequest, base::TimePoint aNow);
  void OnReply(const Peer& aSource,
               const PendingRequest& aPending,
               const net::ClientOutcome& aOutcome,
               const std::string& aBody);
  /// Polls the next source if aSource is the one that this host polls.
  void OnSourceFailed(const Peer& aSource, base::TimePoint aNow);
  void HandleRequest(const net::HttpRequest& aRequest,
                     const std::shared_ptr<net::HttpReply>& aReply);
  void HandleSlotRequest(const net::HttpRequest& aRequest,
                         const std::shared_ptr<net::HttpReply>& aReply);
  void HandleSyncRequest(const net::HttpRequest& aRequest,
                         const std::shared_ptr<net::HttpReply>& aReply);
  void HandleForwardedRequest(const net::HttpRequest& aRequest,
                              const std::shared_ptr<net::HttpReply>& aReply);
  void SetReader(bool aIsReader, const char* aWhy);
  /// Adds what this host knows of single endpoints.
  void AddEndpointNotices(SyncRequest& aSyncRequest, base::TimePoint aNow) const;
  void ApplyReloads(const ReloadNotices& aNotices, base::TimePoint aNow);
  void ApplyReplacements(const IncarnationNotices& aNotices, base::TimePoint aNow);
  void ApplyLeaving(const IncarnationNotices& aNotices, base::TimePoint aNow);
  void ApplyBackoffs(const BackoffNotices& aNotices, base::TimePoint aNow);
  void ApplyBrittleness(const limits::BrittleReports& aReports, base::TimePoint aNow);
  void ApplyLimits(const limits::LimitReports& aReports, base::TimePoint aNow);
  /// Adds the crash notices that aPeer has not received yet.
  void AddCrashNotices(const Peer& aPeer, SyncRequest& aSyncRequest);
  void ApplyCrashes(const quarantine::CrashNotices& aNotices, base::TimePoint aNow);
  /// aPeer replied to a request that carried the crash notices before aUpTo.
  void OnCrashNoticesAcknowledged(const Peer& aPeer,
                                  const SyncReply& aReply,
                                  quarantine::NoticeOffset aUpTo);
  [[nodiscard]] std::vector<store::TopicUpdate> CollectTopicUpdates(
    const std::vector<store::TopicCursor>& aCursors,
    base::TimePoint aNow) const;
  void ApplyTopicUpdates(const std::vector<store::TopicUpdate>& aUpdates,
                         base::TimePoint aAskedAt) const;
  /// Returns the topic that the update belongs to if it can use the update, else null.
  [[nodiscard]] store::TopicFollower* FindUsableTopic(const store::TopicUpdate& aUpdate,
                                                      base::TimePoint aAskedAt) const;
  /// Ends the relaying of all topics: this host reads them from the log.
  void EndTopicUpdates() const;

  net::Loop& m_loop;
  net::HttpClient& m_client;
  store::RecordLog& m_log;
  cache::Stores& m_stores;
  LoadTable& m_loads;
  ReloadTable& m_reloads;
  quarantine::CrashTracker& m_crashes;
  limits::EndpointLimits& m_limits;
  IncarnationTable& m_announcedLeaving;
  BackoffTable& m_backoffs;
  limits::BrittleServices& m_brittle;
  store::UnreadableRecords m_unreadable;
  PeerExchangeOptions m_options;
  std::uint64_t m_incarnation;
  std::optional<Roster> m_roster; ///< once the own address is known
  std::unique_ptr<net::HttpServer> m_server;
  std::vector<std::shared_ptr<store::TopicFollower>> m_topics;
  std::function<void(bool)> m_onReaderChange;
  std::function<void()> m_onReloads;
  std::function<void()> m_onCrashes;
  std::function<void(IncarnationKey)> m_onReplaced;
  std::function<void(IncarnationKey)> m_onLeaving;
  std::function<PlacementReply(const PlacementRequest&)> m_onPlacement;
  std::function<PermitReply(const PermitRequest&)> m_onPermitRequest;
  std::function<SlotReply(const limits::SlotRequest&)> m_onSlotRequest;
  net::HttpHandler m_onForwarded;
  std::function<EndpointLoads()> m_ownLoads;
  std::string m_source;                          ///< name of the reader that is followed
  std::uint64_t m_sourceIncarnation = 0;         ///< to which the cursors belong
  std::optional<base::TimePoint> m_lastPolledAt; ///< by a host that follows this one
  std::optional<base::TimePoint> m_lastSourceReplyAt;
  base::TimePoint m_sourceChangeAt{}; ///< earliest time of the next change
  base::TimePoint m_nextPollAt{};
  std::uint64_t m_sourcesDigest = 0;              ///< of the sources that the polled host sent last
  std::optional<base::TimePoint> m_lastContactAt; ///< last reply or request of another host
  ExchangeCounters m_counters;
  FallbackReader m_fallback;
  IncarnationTable m_replaced;
  std::map<std::string, CrashSyncState> m_crashSync; ///< by host
  std::set<std::string> m_pendingHosts;              ///< names of hosts whose reply is outstanding
  bool m_isReader = false;
  bool m_leaving = false;
  bool m_stopped = false;
  /// Polling can begin: the hosts are known, and this host is registered unless the log failed.
  bool m_hostsKnown = false;
  base::TimePoint m_startTopicsAt{};     ///< earliest time to read unrelayed topics from the log
  base::TimePoint m_startTopicsLatest{}; ///< bound of m_startTopicsAt
  net::TimerHandle m_nextPiece;          ///< polls again after an incomplete update
  net::TimerHandle m_tick;
  net::TimerHandle m_hostsTimer;
};

} // namespace ferrytray::peers
