#pragma once

#include <functional> // for function
#include <memory>     // for shared_ptr
#include <set>        // for set
#include <string>     // for string

#include "ferrytray/net/loop.hpp"                 // for Loop
#include "ferrytray/quarantine/record_keeper.hpp" // for RecordKeeper
#include "ferrytray/relay/feed_options.hpp"       // for FeedOptions
#include "ferrytray/relay/relay_core.hpp"         // for RelayCore
#include "ferrytray/store/topic_follower.hpp"     // for TopicFollower

namespace ferrytray::relay {

/// @brief Keeps the requests that end endpoints in a keyed topic of the record log, so that hosts
/// that start anew, were away, or were all killed at once know them, and takes them from there.
class QuarantineFeed
{
public:
  QuarantineFeed(RelayCore& aCore,
                 store::RecordLog& aLog,
                 std::string aTopic,
                 const FeedOptions& aOptions);
  void Start();
  void Stop();

  /// @brief Followed once it is started.
  [[nodiscard]] const std::shared_ptr<store::TopicFollower>& Topic() const { return m_topic; }
  /// @brief This host saw an end of the request, or a whole answer to it.
  void OnLocalChange(const quarantine::RequestKey& aRequest);
  /// @brief This host hears of no other one: the record log is asked at once.
  void OnIsolated() { m_topic->Renew(); }
  /// @brief The crash board has changed.
  void OnBoardChanged();
  /// @brief Records that the request is sent once more though it is kept away.
  /// @param aDone called once; whether this host may send it
  void ClaimProbe(const quarantine::RequestKey& aRequest, std::function<void(bool)> aDone);
  /// @brief Who records what other hosts saw.
  void SetRankFunction(std::function<quarantine::WriterRank(const quarantine::RequestKey&)> aCall)
  {
    m_rankOf = std::move(aCall);
  }

private:
  void OnRecord(const store::Record& aRecord);
  void OnSnapshot(const std::set<std::string>& aKeys);
  void Write(const quarantine::RecordWrite& aWrite);
  void LogChanges();

  RelayCore& m_core;
  store::RecordLog& m_log;
  std::string m_topicName;
  quarantine::RecordKeeper m_keeper;
  std::function<quarantine::WriterRank(const quarantine::RequestKey&)> m_rankOf;
  std::shared_ptr<store::TopicFollower> m_topic;
  std::set<quarantine::RequestKey> m_pendingClaims;
  std::set<quarantine::RequestKey>
    m_loggedRequests; ///< the requests that were last told to be kept away
  bool m_stopped = false;
  net::TimerHandle m_recordTimer;
};

} // namespace ferrytray::relay
