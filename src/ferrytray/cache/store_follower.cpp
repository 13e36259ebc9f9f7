#include "ferrytray/cache/store_follower.hpp"

#include <utility> // for exchange, move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::cache {

namespace {

/// Whether events may be the reply to a read that asked for those after aSince. The reply to an
/// earlier read would list parts that have been removed since.
bool FollowsOn(const StoreEvents& aEvents, std::uint64_t aSince)
{
  return aEvents.m_next >= aSince && (!aEvents.m_first || *aEvents.m_first > aSince || aSince == 0);
}

} // namespace

StoreFollower::StoreFollower(net::Loop& aLoop,
                             StoreFeed& aFeed,
                             Stores& aStores,
                             std::string aAddress,
                             FollowerOptions aOptions)
  : m_loop(aLoop)
  , m_feed(aFeed)
  , m_stores(aStores)
  , m_address(std::move(aAddress))
  , m_options(aOptions)
{
}

void StoreFollower::Stop()
{
  m_stopped = true;
  m_timer.reset();
}

void StoreFollower::Read()
{
  m_requestedAt = base::MonotonicNow();
  m_feed.ReadEvents(m_address,
                    m_stores.at(m_address).Next(),
                    m_options.m_longPollWait,
                    [self = shared_from_this()](const base::Result<StoreEvents>& aEvents) {
                      self->OnEvents(aEvents);
                    });
}

void StoreFollower::ReadAll()
{
  m_requestedAt = base::MonotonicNow();
  m_feed.ReadAll(m_address, [self = shared_from_this()](const base::Result<StoreEvents>& aEvents) {
    self->OnFullContents(aEvents);
  });
}

void StoreFollower::OnEvents(const base::Result<StoreEvents>& aEvents)
{
  if (m_stopped) {
    return;
  }
  if (!aEvents) {
    OnReadFailed(aEvents.error());
    return;
  }
  StoreContents& contents = m_stores.at(m_address);
  const bool restarted = contents.Epoch() != aEvents->m_epoch;
  // After a restart, events were read from a sequence number of the old epoch, so the first events
  // of the new one may be missing.
  if (aEvents->m_eventsLost || (restarted && contents.Next() > 0)) {
    ReadAll();
    return;
  }
  if (!restarted && !FollowsOn(*aEvents, contents.Next())) {
    telemetry::LogLine("store_events_rejected")
      .Add("store", m_address)
      .Add("since", contents.Next())
      .Add("first", aEvents->m_first.value_or(0))
      .Add("next", aEvents->m_next);
    ReadAll();
    return;
  }
  m_unreachable = false;
  contents.OnEvents(*aEvents, false, m_requestedAt, base::MonotonicNow());
  ScheduleRead(m_options.m_pauseBetweenReads);
}

void StoreFollower::OnFullContents(const base::Result<StoreEvents>& aEvents)
{
  if (m_stopped) {
    return;
  }
  if (!aEvents) {
    OnReadFailed(aEvents.error());
    return;
  }
  m_unreachable = false;
  m_stores.at(m_address).OnEvents(*aEvents, true, m_requestedAt, base::MonotonicNow());
  telemetry::LogLine("store_listed")
    .Add("store", m_address)
    .Add("epoch", aEvents->m_epoch)
    .Add("parts", aEvents->m_changes.size());
  ScheduleRead(m_options.m_pauseBetweenReads);
}

void StoreFollower::OnReadFailed(const base::Failure& aFailure)
{
  if (!std::exchange(m_unreachable, true)) {
    telemetry::LogLine("dependency_lost")
      .Add("dependency", "kv_store")
      .Add("store", m_address)
      .Add("why", aFailure.m_message);
  }
  const bool refused = aFailure.m_code == base::ErrorCode::EndpointRefused;
  ScheduleRead(refused ? m_options.m_refusalDelay : m_options.m_retryDelay);
}

void StoreFollower::ScheduleRead(base::Duration aDelay)
{
  std::weak_ptr<StoreFollower> weak = weak_from_this();
  m_timer = m_loop.After(aDelay, [weak] {
    if (const auto self = weak.lock(); self && !self->m_stopped) {
      self->Read();
    }
  });
}

} // namespace ferrytray::cache
