#pragma once

#include <functional> // for function
#include <memory>     // for shared_ptr
#include <set>        // for set
#include <span>       // for span
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/net/loop.hpp"                 // for Loop
#include "ferrytray/quarantine/record_keeper.hpp" // for RecordReconciler
#include "ferrytray/relay/feed_options.hpp"       // for FeedOptions
#include "ferrytray/relay/relay_core.hpp"         // for RelayCore
#include "ferrytray/store/topic_follower.hpp"     // for TopicFollower

namespace ferrytray::relay {

/// @brief Synchronizes the crash tracker with a keyed topic of the record log, so that hosts know
/// the quarantined content after a start, a lost connection or a crash of all hosts.
class QuarantineFeed
{
public:
  QuarantineFeed(RelayCore& aCore,
                 store::RecordLog& aLog,
                 std::string aTopic,
                 const FeedOptions& aOptions);
  void Start();
  void Stop();

  /// @brief The topic's follower; the caller starts it.
  [[nodiscard]] const std::shared_ptr<store::TopicFollower>& Topic() const { return m_topic; }
  /// @brief This host saw an endpoint crash during a request with this content, or a complete reply
  /// to one.
  void OnLocalChange(std::span<const quarantine::ContentKey> aContent);
  /// @brief This host hears from no other host: reads the record log at once.
  void OnIsolated() { m_topic->RestartRead(); }
  /// @brief The crash tracker has changed: logs the changes and writes the records that are due.
  void OnTrackerChanged();
  /// @brief Records that a request with this quarantined content is sent as a probe. The records
  /// are appended under the condition that no other one was, so that of all hosts one is granted.
  /// @param aDone called once, with whether this host may send it
  void ClaimProbe(std::span<const quarantine::ContentKey> aContent,
                  std::function<void(bool)> aDone);
  /// @brief Sets the function that returns this host's role in writing the record of content.
  void SetRoleFunction(std::function<quarantine::WriterRole(const quarantine::ContentKey&)> aCall)
  {
    m_roleOf = std::move(aCall);
  }

private:
  /// Appends the records of a claim one after the other, from the given one on.
  /// @param aTopicEnd where the topic must end
  void ContinueClaim(std::vector<quarantine::ContentKey> aContent,
                     std::size_t aNext,
                     store::Offset aTopicEnd,
                     std::function<void(bool)> aDone);
  void OnRecord(const store::Record& aRecord);
  void OnSnapshot(const std::set<std::string>& aKeys);
  void Write(const quarantine::RecordWrite& aWrite);
  void LogChanges();

  RelayCore& m_core;
  store::RecordLog& m_log;
  std::string m_topicName;
  quarantine::RecordReconciler m_reconciler;
  std::function<quarantine::WriterRole(const quarantine::ContentKey&)> m_roleOf;
  std::shared_ptr<store::TopicFollower> m_topic;
  std::set<quarantine::ContentKey> m_loggedContent; ///< quarantined content as last logged
  bool m_isClaiming = false;
  base::TimePoint m_nextClaimAt{}; ///< after a claim that was not granted
  bool m_stopped = false;
  net::TimerHandle m_recordTimer;
};

} // namespace ferrytray::relay
