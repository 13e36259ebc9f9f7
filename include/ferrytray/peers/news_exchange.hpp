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
#include "ferrytray/peers/fallback_reader.hpp"    // for FallbackReader
#include "ferrytray/peers/messages.hpp"           // for NewsReply, NewsRequest
#include "ferrytray/peers/placement_messages.hpp" // for PlacementReply, PlacementRequest
#include "ferrytray/peers/reload_board.hpp"       // for ReloadBoard
#include "ferrytray/peers/replaced_board.hpp"     // for ReplacedBoard
#include "ferrytray/peers/roster.hpp"             // for Roster
#include "ferrytray/quarantine/crash_board.hpp"   // for CrashBoard
#include "ferrytray/store/record_log.hpp"         // for RecordLog
#include "ferrytray/store/topic_follower.hpp"     // for TopicFollower
#include "ferrytray/store/unreadable_records.hpp" // for UnreadableRecords

namespace ferrytray::peers {

struct NewsOptions
{
  net::Address m_listen;        ///< for other hosts
  std::string m_name;           ///< of this host, the same over its restarts
  std::string m_zone;           ///< its availability zone
  std::uint32_t m_capacity = 0; ///< of its processor and link; only compared
  std::string m_topic;          ///< keyed; each host's record is its Peer
  RosterOptions m_roster;
  /// Between two questions; what is heard is as old at most (ContentsOptions::m_maxAge).
  base::Duration m_askEvery = std::chrono::milliseconds(300);
  base::Duration m_answerWithin = std::chrono::milliseconds(700);
  base::Duration m_connectWithin = std::chrono::milliseconds(300);
  /// A host that is asked reads from the stores until it was not asked for so long.
  base::Duration m_readFor = std::chrono::seconds(4);
  /// After this host enrolled. Hosts that start together do so within some hundred milliseconds,
  /// and the strongest of them are to be known; each look is charged.
  base::Duration m_lookFirst = std::chrono::milliseconds(500);
  /// Hosts that read look again, in case others enrolled since.
  base::Duration m_lookAgain = std::chrono::seconds(2);
  base::Duration m_lookEvery = std::chrono::seconds(60);
  base::Duration m_enrolRetry = std::chrono::milliseconds(700);
  /// For an answer to a question of placement. It takes a millisecond; waiting for long would cost
  /// the prompt what the answer gains it, some hundred milliseconds at a busy engine.
  base::Duration m_placementWithin = std::chrono::milliseconds(40);
  /// After the hosts are known, another one is given so long to pass the topics on whole: time for
  /// three questions. Otherwise every host would read them, all at once when all of them start.
  base::Duration m_wholeWithin = std::chrono::milliseconds(1000);
};

/// @brief What hosts tell each other: new records of the log and what KV stores hold, so that few
/// of them have to read it there, and what each has open at endpoints.
class NewsExchange
{
public:
  static constexpr std::string_view kPlacementPath = "/placement";

  NewsExchange(net::Loop& aLoop,
               net::HttpClient& aClient,
               store::RecordLog& aLog,
               cache::Stores& aStores,
               LoadBoard& aLoads,
               ReloadBoard& aReloads,
               quarantine::CrashBoard& aCrashes,
               NewsOptions aOptions);
  /// @brief Listens, reads the topic of hosts, enrols there unless it is listed, begins to ask.
  /// @return ListenFailed
  base::Result<void> Start();
  /// @brief A planned stop has begun: other hosts are to ask elsewhere.
  void Leave() { m_leaving = true; }
  void Stop();
  /// @brief Tells the hosts that read for others of reloads at once, not at the next question.
  void TellReloads();
  /// @brief Tells other hosts of what the crash board has got at once, not at the next question.
  void TellCrashes();
  /// @brief Calls when another host told of something that the crash board did not know.
  void OnCrashes(std::function<void()> aCall) { m_onCrashes = std::move(aCall); }
  /// @brief Another endpoint answered at this incarnation's address: other hosts hear of it with
  /// the next questions.
  void TellReplaced(std::string_view aIncarnation);
  /// @brief Calls with each incarnation that another host found to be replaced.
  void OnReplaced(std::function<void(IncarnationKey)> aCall) { m_onReplaced = std::move(aCall); }
  /// @brief Calls when this host is to begin or to stop to read from the stores itself.
  void OnDirect(std::function<void(bool aDirect)> aCall) { m_onDirect = std::move(aCall); }
  /// @brief Calls when another host told of a reload that was not known.
  void OnReloads(std::function<void()> aCall) { m_onReloads = std::move(aCall); }
  /// @brief Lets other hosts follow this topic through this one, and the reverse; starts it when no
  /// other host passes it on. Before Start().
  void AddTopic(std::shared_ptr<store::TopicFollower> aTopic)
  {
    m_topics.push_back(std::move(aTopic));
  }
  /// @brief Answers hosts that ask which engine a prompt is to go to.
  void OnPlacement(std::function<PlacementReply(const PlacementRequest&)> aCall)
  {
    m_onPlacement = std::move(aCall);
  }
  /// @brief Who gives out the prompts of a zone's engines, or of all; empty while hosts are
  /// unknown.
  [[nodiscard]] std::optional<Peer> Placer(const std::string& aZone, base::TimePoint aNow) const;
  /// @brief Whether this host is among the first so many by a hash of that name; false while hosts
  /// are unknown.
  [[nodiscard]] bool IsAmong(std::string_view aName, std::size_t aFirst) const
  {
    return m_looked && m_roster->IsAmong(aName, aFirst);
  }
  /// @brief Whether there are other hosts, and none answered or asked for so long.
  [[nodiscard]] bool IsAlone(base::Duration aFor, base::TimePoint aNow) const
  {
    const bool heard = m_heardAt && aNow < *m_heardAt + aFor;
    return m_roster && m_roster->Hosts() > 1 && !heard;
  }
  /// @brief Whether this host reads for others, or there are only a few.
  [[nodiscard]] bool IsReader() const { return m_direct; }
  [[nodiscard]] const std::string& Name() const { return m_options.m_name; }
  /// @brief Whether that is this host.
  [[nodiscard]] bool IsSelf(const Peer& aPeer) const { return aPeer == m_roster->Self(); }
  /// @brief Asks a host which engine a prompt is to go to.
  /// @param aDone called once; empty if there was no answer in time
  void AskPlacement(const Peer& aPeer,
                    const PlacementRequest& aRequest,
                    std::function<void(std::optional<PlacementReply>)> aDone);
  /// @brief Asks for what this host has open at endpoints.
  void OwnLoads(std::function<EndpointLoads()> aCall) { m_ownLoads = std::move(aCall); }

private:
  /// What belongs to a question until its answer comes.
  struct Asked
  {
    base::TimePoint m_at;
    quarantine::NoticeNumber m_crashesTold = 0; ///< it told all before that number
  };
  /// Of one message; the rest comes with the next one.
  static constexpr std::size_t kMostCrashNotices = 512;
  /// How far another host and this one know each other's crash notices.
  struct CrashesKnown
  {
    std::uint64_t m_incarnation = 0; ///< of that host, as it last answered
    quarantine::NoticeNumber m_told = 0;
    quarantine::NoticeNumber m_heard = 0;
  };

  void Look();
  void OnHosts(const base::Result<store::Snapshot>& aResult);
  void Enrol();
  void LookLater(base::Duration aDelay);
  /// Topics that nobody has passed on are read by this host itself.
  void StartTopics();
  void Tick();
  /// Asks for the contents of the stores and for all loads.
  void AskSource(const Peer& aSource, base::TimePoint aNow);
  void AnswerPlacement(const net::HttpRequest& aRequest,
                       const std::shared_ptr<net::HttpReply>& aReply) const;
  /// Exchanges loads with another reader.
  void AskReader(const Peer& aReader, base::TimePoint aNow);
  /// Asks for the log's records only, while this host has lost the log.
  void AskFallback(base::TimePoint aNow);
  void OnFallbackReply(const Peer& aPeer, base::TimePoint aAskedAt, const NewsReply& aReply);
  [[nodiscard]] std::vector<store::TopicCursor> TopicCursors() const;
  void Ask(const Peer& aPeer, const NewsRequest& aQuestion, base::TimePoint aNow);
  void OnReply(const Peer& aSource,
               const Asked& aAsked,
               const net::ClientOutcome& aOutcome,
               const std::string& aBody);
  void Answer(const net::HttpRequest& aRequest, const std::shared_ptr<net::HttpReply>& aReply);
  void SetDirect(bool aDirect, const char* aWhy);
  void TakeReloads(const ReloadNotices& aNotices, base::TimePoint aNow);
  void TakeReplaced(const ReplacedNotices& aNotices, base::TimePoint aNow);
  /// What of the crash board this host has not told that one.
  void AddCrashes(const Peer& aPeer, NewsRequest& aQuestion);
  void TakeCrashes(const quarantine::CrashNotices& aNotices, base::TimePoint aNow);
  /// The answer came to a question that told notices up to that number.
  void OnCrashesTold(const Peer& aPeer, const NewsReply& aReply, quarantine::NoticeNumber aUpTo);
  [[nodiscard]] std::vector<store::TopicNews> NewsOfTopics(
    const std::vector<store::TopicCursor>& aCursors,
    store::PassOn aMost,
    base::TimePoint aNow) const;
  void TakeNewsOfTopics(const std::vector<store::TopicNews>& aNews, base::TimePoint aAskedAt) const;
  /// The topic that these are of, if it can go by them; else null.
  [[nodiscard]] store::TopicFollower* TopicFor(const store::TopicNews& aNews,
                                               base::TimePoint aAskedAt) const;
  /// News do not come any more: each topic is read by this host itself.
  void EndNewsOfTopics() const;

  net::Loop& m_loop;
  net::HttpClient& m_client;
  store::RecordLog& m_log;
  cache::Stores& m_stores;
  LoadBoard& m_loads;
  ReloadBoard& m_reloads;
  quarantine::CrashBoard& m_crashes;
  store::UnreadableRecords m_unreadable;
  NewsOptions m_options;
  std::uint64_t m_incarnation;
  std::optional<Roster> m_roster; ///< once the own address is known
  std::unique_ptr<net::HttpServer> m_server;
  std::vector<std::shared_ptr<store::TopicFollower>> m_topics;
  std::function<void(bool)> m_onDirect;
  std::function<void()> m_onReloads;
  std::function<void()> m_onCrashes;
  std::function<void(IncarnationKey)> m_onReplaced;
  std::function<PlacementReply(const PlacementRequest&)> m_onPlacement;
  std::function<EndpointLoads()> m_ownLoads;
  std::string m_source;                  ///< name of the host that was asked last
  std::uint64_t m_sourceIncarnation = 0; ///< to which the cursors belong
  std::optional<base::TimePoint> m_wasAskedAt;
  std::optional<base::TimePoint> m_heardAt; ///< another host answered or asked
  FallbackReader m_fallback;
  ReplacedBoard m_replaced;
  std::map<std::string, CrashesKnown> m_crashesKnown; ///< by host
  std::set<std::string> m_asking;                     ///< names of hosts that have not answered yet
  bool m_direct = false;
  bool m_leaving = false;
  bool m_stopped = false;
  bool m_enrolled = false;           ///< in this process
  bool m_looked = false;             ///< it knows the hosts and they can know it
  base::TimePoint m_startTopicsAt{}; ///< then topics are read that nobody passed on
  net::TimerHandle m_tick;
  net::TimerHandle m_lookTimer;
};

} // namespace ferrytray::peers
