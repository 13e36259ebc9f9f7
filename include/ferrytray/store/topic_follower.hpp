#pragma once

#include <cstdint>       // for uint64_t
#include <functional>    // for function
#include <memory>        // for shared_ptr
#include <optional>      // for optional
#include <set>           // for set
#include <span>          // for span
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp"          // for Duration
#include "ferrytray/net/loop.hpp"           // for Loop
#include "ferrytray/store/record_log.hpp"   // for RecordLog
#include "ferrytray/store/record_tail.hpp"  // for RecordTail
#include "ferrytray/store/topic_update.hpp" // for TopicCursor, TopicUpdate

namespace ferrytray::store {

/// @brief How a topic is followed.
struct FollowOptions
{
  std::string m_topic;
  /// The log holds a read open for so long when there is nothing new; zero: it answers at once.
  base::Duration m_wait{};
  /// Pause between reads. Every read costs the operators, so a busy topic is read in batches.
  base::Duration m_pause = std::chrono::milliseconds(500);
  /// The same while other hosts follow through this one: what they learn comes later still.
  base::Duration m_servingPause = std::chrono::milliseconds(500);
  base::Duration m_servingPeriod = std::chrono::seconds(4); ///< after the last of them asked
  /// A read that is held open may be lost without a word while the log is slow or around an outage.
  /// For m_shortWaitPeriod after such a sign, and after the start, reads are held open this long
  /// only. Each sign also brings a read that is not held open.
  base::Duration m_shortWait = std::chrono::milliseconds(800);
  base::Duration m_shortWaitPeriod = std::chrono::seconds(15);
  /// For an answer beyond the wait; it doubles up to the most while answers do not come.
  /// A read that is not held open and takes longer is a sign of a slow log (usual: 5 ms).
  base::Duration m_slowThreshold = std::chrono::milliseconds(60);
  base::Duration m_replyTimeout = std::chrono::milliseconds(600);
  base::Duration m_maxReplyTimeout = std::chrono::milliseconds(2400);
  base::Duration m_retryMin = std::chrono::milliseconds(100);
  base::Duration m_retryMax = std::chrono::milliseconds(500);
  /// News through another host count while the log answered that host no longer ago than this; then
  /// this one reads by itself.
  base::Duration m_maxUpdateAge = std::chrono::milliseconds(1000);
};

/// @brief What the follower tells. All calls come on the loop, records in order.
struct FollowEvents
{
  /// @return whether it told something new: if not, hosts that follow through this one do not get
  /// it
  std::function<bool(const Record&)> m_onRecord;
  /// The whole topic was read; keys that are not listed are gone.
  std::function<void(const std::set<std::string>& aKeys)> m_onSnapshot;
  /// A read succeeded, after failures if aRecovered. Comes before what that read brought.
  /// The log answered at aAt, this host or the one that passes its records on.
  std::function<void(bool aRecovered, base::TimePoint aAt)> m_onContact;
  std::function<void(const base::Failure&)> m_onUnreachable;
  /// A read that was held open has failed; it is followed by one that is not, before
  /// m_onUnreachable.
  std::function<void(base::Duration aOpen)> m_onHeldReadFailed;
  /// A read that is not held open took long.
  std::function<void(base::Duration aTook)> m_onSlow;
};

/// @brief Follows a keyed topic: a snapshot first, then record by record; a new snapshot when
/// history was lost. A key's older record never comes after a newer one.
///
/// While the log answers reads that are not held open, what it had is known after a wait and the
/// patience, whatever becomes of the ones that are.
class TopicFollower : public std::enable_shared_from_this<TopicFollower>
{
public:
  TopicFollower(net::Loop& aLoop, RecordLog& aLog, FollowOptions aOptions, FollowEvents aEvents);
  /// @brief Reads the topic, unless that was begun or another host has passed it on.
  void Start();
  void Stop();
  /// @brief The log was seen to have failed or to be slow: the read under way is not relied on any
  /// more.
  void RestartRead();
  /// @brief Up to where records are known.
  [[nodiscard]] TopicCursor Cursor() const;
  /// @brief What a host that has followed up to there does not know yet.
  [[nodiscard]] std::optional<TopicUpdate> UpdateSince(const TopicCursor& aFrom,
                                                       base::TimePoint aNow,
                                                       RelayLimit aLimit = RelayLimit::Bounded);
  /// @brief Whether the log did not answer this host's last read and nobody passes records on.
  [[nodiscard]] bool IsUnreachable() const { return m_unreachable; }
  /// @brief Whether another host passes records on, so that this one does not read.
  [[nodiscard]] bool IsRelayed() const { return m_relayed; }
  /// @brief Whether OnUpdate() would go by these.
  [[nodiscard]] bool IsUsable(const TopicUpdate& aUpdate,
                              base::TimePoint aAskedAt,
                              base::TimePoint aNow) const;
  [[nodiscard]] const std::string& Topic() const { return m_options.m_topic; }
  /// @brief News through another host. While they keep coming, this one does not read by itself.
  /// @param aAskedAt when that host was asked
  void OnUpdate(const TopicUpdate& aUpdate, base::TimePoint aAskedAt);
  /// @brief News come from another host from now on, or no more: until they come again, this one
  /// reads by itself.
  void OnRelayEnded();

private:
  void LoadSnapshot();
  void OnSnapshot(base::Result<Snapshot> aResult);
  void ReadNext();
  /// Reads what is there; the log does not hold this one open.
  void ReadImmediately();
  void Read(base::Duration aWait);
  void OnFailure(const base::Failure& aFailure);
  void OnBatch(std::uint64_t aRead, base::Result<Batch> aResult);
  [[nodiscard]] base::Duration CurrentWait() const;
  /// @return whether it told something new
  bool Deliver(const Record& aRecord);
  /// Tells the record and keeps it for hosts that follow through this one.
  void Apply(const Record& aRecord);
  /// @param aEnd up to there nothing else tells something new
  void ApplyUpdate(std::span<const Record> aRecords, Offset aEnd);
  void DeliverSnapshot(const std::vector<Record>& aRecords, Offset aEnd);
  [[nodiscard]] TopicUpdate FullUpdate() const;
  void OnContact(base::TimePoint aAt, bool aRecovered);
  [[nodiscard]] base::Duration CurrentPause() const;
  void OnUnreachable(const base::Failure& aFailure);
  void Schedule(base::Duration aDelay, void (TopicFollower::*aStep)());

  net::Loop& m_loop;
  RecordLog& m_log;
  FollowOptions m_options;
  FollowEvents m_events;
  Offset m_next = 0;
  bool m_loaded = false;
  bool m_loading = false; ///< a snapshot is being read
  bool m_unreachable = false;
  bool m_stopped = false;
  std::uint64_t m_readNumber = 0; ///< number of the newest read; answers to others are dropped
  bool m_reading = false;
  base::TimePoint m_readStartedAt{};
  base::Duration m_readWait{}; ///< how long that read may be held open
  base::Duration m_currentReplyTimeout{};
  std::optional<base::TimePoint> m_shortWaitUntil;
  base::Duration m_retryDelay{};
  RecordTail m_tail;
  bool m_relayed = false; ///< through another host: this one does not read by itself
  std::optional<base::TimePoint> m_lastContactAt; ///< when the log last answered, as far as known
  std::uint64_t m_outages = 0;                    ///< times that it came back
  std::optional<std::uint64_t> m_relayOutages;    ///< the same at the host that passes news on
  std::optional<base::TimePoint> m_lastServedAt;  ///< when another host last asked this one
  std::unordered_map<std::string, Record> m_newestByKey; ///< last told, by key
  net::TimerHandle m_timer;
};

} // namespace ferrytray::store
