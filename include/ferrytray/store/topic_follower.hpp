#pragma once

#include <cstdint>    // for uint64_t
#include <functional> // for function
#include <map>        // for map
#include <memory>     // for shared_ptr
#include <optional>   // for optional
#include <random>     // for minstd_rand, random_device
#include <set>        // for set
#include <span>       // for span
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/base/time.hpp"             // for Duration
#include "ferrytray/net/loop.hpp"              // for Loop
#include "ferrytray/store/contact_history.hpp" // for ContactHistory, ContactPeriod, LogOutage
#include "ferrytray/store/record_log.hpp"      // for RecordLog
#include "ferrytray/store/record_tail.hpp"     // for RecordTail
#include "ferrytray/store/topic_update.hpp"    // for TopicCursor, TopicUpdate

namespace ferrytray::store {

/// @brief Settings of a TopicFollower.
struct FollowOptions
{
  std::string m_topic;
  /// How long the log may hold a read open while there is nothing new (a held read); zero: it
  /// replies at once.
  base::Duration m_wait{};
  /// Pause between reads. Every read is charged to the operators, so a busy topic is read in
  /// batches.
  base::Duration m_pause = std::chrono::milliseconds(500);
  /// The pause while other hosts follow through this one, since relaying delays the records
  /// further.
  base::Duration m_servingPause = std::chrono::milliseconds(500);
  base::Duration m_servingPeriod = std::chrono::seconds(4); ///< after the last request
  /// A held read may be lost silently while the log is slow or around an outage. After any sign of
  /// this, and after the start, reads are held open only this long for m_shortWaitPeriod. Each sign
  /// also triggers a read that is not held open.
  base::Duration m_shortWait = std::chrono::milliseconds(800);
  base::Duration m_shortWaitPeriod = std::chrono::seconds(15);
  /// A read that is not held open and takes longer is a sign of a slow log (usual: 5 ms).
  base::Duration m_slowThreshold = std::chrono::milliseconds(60);
  /// How long to wait for a reply beyond the wait; doubles up to the maximum while none comes.
  base::Duration m_replyTimeout = std::chrono::milliseconds(600);
  base::Duration m_maxReplyTimeout = std::chrono::milliseconds(2400);
  base::Duration m_retryMin = std::chrono::milliseconds(100);
  base::Duration m_retryMax = std::chrono::milliseconds(500);
  /// Maximum retry delay of a host to which others relayed the topic: all hosts that follow the
  /// same reader lose the log together.
  base::Duration m_relayedRetryMax = std::chrono::seconds(8);
  /// When relayed updates end, this host reads the log after a random time up to this, since all
  /// hosts that follow the same reader lose it together.
  base::Duration m_maxTakeoverDelay{};
  /// How long an update that is not complete keeps this host from reading the log. Its own read
  /// would return the same records.
  base::Duration m_progressTime = std::chrono::seconds(1);
  /// Between two checks whether this host may read the log.
  base::Duration m_takeoverCheckInterval = std::chrono::milliseconds(200);
  /// Relayed updates are used while the log answered the relaying host no longer ago than this;
  /// after that this host reads the log itself.
  base::Duration m_maxUpdateAge = std::chrono::milliseconds(1000);
  /// Shortest time without an answer of the log to any known host that counts as an outage.
  base::Duration m_minOutage = std::chrono::milliseconds(2500);
};

/// @brief Callbacks of a TopicFollower. All calls are made on the loop, records in order.
struct FollowEvents
{
  /// @return whether the record carried something new; if not, it is not relayed to other hosts
  std::function<bool(const Record&)> m_onRecord;
  /// The whole topic was read; keys that are not listed have been removed.
  std::function<void(const std::set<std::string>& aKeys)> m_onSnapshot;
  /// A read succeeded, after failures of this host's reads if aRecovered. Called before the records
  /// of that read. At aAt the log answered this host or the one that relays its records.
  std::function<void(bool aRecovered, base::TimePoint aAt)> m_onContact;
  /// The log answers again after it answered no known host for m_minOutage. Called before the
  /// records of the first read after the outage, and again if another host shows that the outage
  /// was shorter, or (no value) that there was none.
  std::function<void(const std::optional<LogOutage>&)> m_onOutageEnd;
  std::function<void(const base::Failure&)> m_onUnreachable;
  /// A held read failed. A read that is not held open follows; m_onUnreachable is called only if
  /// that fails too.
  std::function<void(base::Duration aOpen)> m_onHeldReadFailed;
  /// On a topic without held reads: a read took longer than m_slowThreshold.
  std::function<void(base::Duration aTook)> m_onSlow;
};

/// @brief Follows a keyed topic: reads a snapshot, then record by record, and a new snapshot when
/// the log has dropped records. Never delivers an older record of a key after a newer one.
///
/// As long as the log answers reads that are not held open, a record is delivered within the wait
/// plus the reply timeout, even if held reads are lost.
class TopicFollower : public std::enable_shared_from_this<TopicFollower>
{
public:
  TopicFollower(net::Loop& aLoop, RecordLog& aLog, FollowOptions aOptions, FollowEvents aEvents);
  /// @brief Starts to read the topic, unless that has begun or another host relays it.
  void Start();
  void Stop();
  /// @brief Replaces the read in progress by one that is not held open, since the log was seen to
  /// fail or to be slow.
  void RestartRead();
  /// @brief Returns how far the topic has been followed.
  [[nodiscard]] TopicCursor Cursor() const;
  /// @brief Returns the update for a host that has followed the topic up to aFrom; none if nothing
  /// is known yet. If the records since then are no longer kept, the update starts a snapshot.
  [[nodiscard]] std::optional<TopicUpdate> UpdateSince(const TopicCursor& aFrom,
                                                       base::TimePoint aNow);
  /// @brief Whether this host's last read failed and no other host relays the topic.
  [[nodiscard]] bool IsUnreachable() const { return m_unreachable; }
  /// @brief Whether another host relays the topic, so that this one does not read it.
  [[nodiscard]] bool IsRelayed() const { return m_relayed; }
  /// @brief Whether OnUpdate() would use the update.
  [[nodiscard]] bool IsUsable(const TopicUpdate& aUpdate,
                              base::TimePoint aAskedAt,
                              base::TimePoint aNow) const;
  [[nodiscard]] const std::string& Topic() const { return m_options.m_topic; }
  /// @brief Applies an update from another host. While updates keep coming, this host does not read
  /// the log.
  /// @param aAskedAt when that host was sent the request
  void OnUpdate(const TopicUpdate& aUpdate, base::TimePoint aAskedAt);
  /// @brief Takes the contact period of another host's update, but not its records.
  /// @param aAskedAt when that host was sent the request
  void OnContactReport(const TopicUpdate& aUpdate, base::TimePoint aAskedAt);
  /// @brief Sets whether this host may read the log when relayed updates have ended; otherwise it
  /// waits for further updates. The log cannot serve all hosts of a large deployment, so most of
  /// them may read it only while no host that relays the topic can be reached.
  void AllowTakeover(bool aAllowed) { m_takeoverAllowed = aAllowed; }
  /// @brief Whether the relayed updates have ended or become too old, and this host has not read
  /// the log since.
  [[nodiscard]] bool IsOverdue() const { return m_wasRelayed && !m_relayed; }
  /// @brief No other host relays the topic any longer: this host reads the log until the next
  /// usable update.
  void OnRelayEnded();

private:
  /// Pieces of a snapshot that another host relays, until the last one arrives.
  struct PartialSnapshot
  {
    std::vector<Record> m_records;
    std::size_t m_bytes = 0;
    std::string m_after; ///< key of the last record received
    Offset m_end = 0;    ///< lowest end of the pieces; records from there on may be missing
  };

  void LoadSnapshot();
  void OnSnapshot(base::Result<Snapshot> aResult);
  void ReadNext();
  /// Reads the available records; the log does not hold this read open.
  void ReadImmediately();
  void Read(base::Duration aWait);
  /// Reads the log in place of the host that relayed the topic.
  void TakeOver();
  void OnFailure(const base::Failure& aFailure);
  void OnBatch(std::uint64_t aRead, base::Result<Batch> aResult);
  [[nodiscard]] base::Duration CurrentWait() const;
  /// @return whether the record carried something new
  bool Deliver(const Record& aRecord);
  /// Delivers the record and keeps it for hosts that follow through this one.
  void Apply(const Record& aRecord);
  /// @param aEnd end of the range; its other records carry nothing new
  void ApplyUpdate(std::span<const Record> aRecords, Offset aEnd);
  void DeliverSnapshot(const std::vector<Record>& aRecords, Offset aEnd);
  /// Puts the piece of the snapshot that follows a key into the update.
  void FillSnapshotPiece(TopicUpdate& aUpdate, const std::string& aAfter) const;
  /// Adds a received piece. @return whether m_partial is complete
  bool AddSnapshotPiece(const TopicUpdate& aUpdate);
  void OnContact(base::TimePoint aAt, bool aRecovered);
  /// The log has answered a read of this host, even if records are still missing.
  void OnAnswer();
  /// Adds a period in which the log answered this host or the one that relays its records.
  /// @param aUncertainty how much later than stated the period may have been
  void AddContactPeriod(ContactPeriod aPeriod, base::Duration aUncertainty);
  [[nodiscard]] base::Duration CurrentPause() const;
  void OnUnreachable(const base::Failure& aFailure);
  /// @return at random up to aMax
  [[nodiscard]] base::Duration RandomDelay(base::Duration aMax);
  void Schedule(base::Duration aDelay, void (TopicFollower::*aStep)());

  net::Loop& m_loop;
  RecordLog& m_log;
  FollowOptions m_options;
  FollowEvents m_events;
  Offset m_next = 0;
  bool m_loaded = false;
  bool m_loading = false; ///< a snapshot read is in progress
  bool m_unreachable = false;
  bool m_stopped = false;
  std::uint64_t m_readNumber = 0; ///< of the newest read; replies to earlier ones are dropped
  bool m_reading = false;
  base::TimePoint m_readStartedAt{};
  base::Duration m_readWait{}; ///< how long the newest read may be held open
  base::Duration m_currentReplyTimeout{};
  std::optional<base::TimePoint> m_shortWaitUntil;
  base::Duration m_retryDelay{};
  RecordTail m_tail;
  bool m_relayed = false;        ///< another host relays the topic; this one does not read it
  bool m_wasRelayed = false;     ///< this host has not read the log since it was relayed
  bool m_takeoverAllowed = true; ///< @see AllowTakeover
  std::minstd_rand m_random{ std::random_device{}() };
  /// Begin of the latest read, of this host or the one that relays, that reached the topic's end.
  std::optional<base::TimePoint> m_lastContactAt;
  ContactHistory m_contacts;
  std::optional<base::TimePoint> m_lastServedAt; ///< when another host last requested an update
  std::map<std::string, Record> m_newestByKey;   ///< newest delivered record of each key
  std::optional<PartialSnapshot> m_partial;
  net::TimerHandle m_timer;
};

} // namespace ferrytray::store
