#pragma once

#include <memory> // for shared_ptr
#include <string> // for string

#include "ferrytray/base/time.hpp"          // for Duration
#include "ferrytray/cache/part_planner.hpp" // for Stores
#include "ferrytray/cache/store_feed.hpp"   // for StoreFeed
#include "ferrytray/net/loop.hpp"           // for Loop

namespace ferrytray::cache {

struct FollowerOptions
{
  /// Long-polling wait of a read. The age of events counts from the request, so this must stay well
  /// below ContentsOptions::m_maxAge.
  base::Duration m_longPollWait = std::chrono::milliseconds(500);
  /// Makes events arrive in batches.
  base::Duration m_pauseBetweenReads = std::chrono::milliseconds(200);
  base::Duration m_retryDelay = std::chrono::milliseconds(400);
  /// After a refusal. A store serves only a few readers at once and refuses the others, and
  /// further reads may cause it to refuse the operators' own.
  base::Duration m_refusalDelay = std::chrono::seconds(10);
};

/// @brief Keeps the known contents of one store up to date by long polling its events.
class StoreFollower : public std::enable_shared_from_this<StoreFollower>
{
public:
  StoreFollower(net::Loop& aLoop,
                StoreFeed& aFeed,
                Stores& aStores,
                std::string aAddress,
                FollowerOptions aOptions = {});
  void Start() { Read(); }
  void Stop();

private:
  void Read();
  void ReadAll();
  void OnEvents(const base::Result<StoreEvents>& aEvents);
  void OnFullContents(const base::Result<StoreEvents>& aEvents);
  void OnReadFailed(const base::Failure& aFailure);
  void ScheduleRead(base::Duration aDelay);

  net::Loop& m_loop;
  StoreFeed& m_feed;
  Stores& m_stores;
  std::string m_address;
  FollowerOptions m_options;
  base::TimePoint m_requestedAt{};
  bool m_stopped = false;
  bool m_unreachable = false;
  net::TimerHandle m_timer;
};

} // namespace ferrytray::cache
