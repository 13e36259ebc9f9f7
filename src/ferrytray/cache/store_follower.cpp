#include "ferrytray/cache/store_follower.hpp"

#include <utility> // for exchange, move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::cache {

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
  m_askedAt = base::MonotonicNow();
  m_feed.ReadNews(
    m_address,
    m_stores.at(m_address).Next(),
    m_options.m_wait,
    [self = shared_from_this()](const base::Result<StoreNews>& aNews) { self->OnNews(aNews); });
}

void StoreFollower::ReadAll()
{
  m_askedAt = base::MonotonicNow();
  m_feed.ReadAll(m_address, [self = shared_from_this()](const base::Result<StoreNews>& aNews) {
    self->OnAll(aNews);
  });
}

void StoreFollower::OnNews(const base::Result<StoreNews>& aNews)
{
  if (m_stopped) {
    return;
  }
  if (!aNews) {
    Away(aNews.error());
    return;
  }
  StoreContents& contents = m_stores.at(m_address);
  const bool restarted = contents.Epoch() != aNews->m_epoch;
  // After a restart, the news asked for began in the middle of the new epoch.
  if (aNews->m_lost || (restarted && contents.Next() > 0)) {
    ReadAll();
    return;
  }
  m_away = false;
  contents.OnNews(*aNews, false, m_askedAt, base::MonotonicNow());
  Later(m_options.m_pause);
}

void StoreFollower::OnAll(const base::Result<StoreNews>& aNews)
{
  if (m_stopped) {
    return;
  }
  if (!aNews) {
    Away(aNews.error());
    return;
  }
  m_away = false;
  m_stores.at(m_address).OnNews(*aNews, true, m_askedAt, base::MonotonicNow());
  telemetry::LogLine("store_listed")
    .Add("store", m_address)
    .Add("epoch", aNews->m_epoch)
    .Add("parts", aNews->m_changes.size());
  Later(m_options.m_pause);
}

void StoreFollower::Away(const base::Failure& aFailure)
{
  if (!std::exchange(m_away, true)) {
    telemetry::LogLine("dependency_lost")
      .Add("dependency", "kv_store")
      .Add("store", m_address)
      .Add("why", aFailure.m_message);
  }
  const bool refused = aFailure.m_code == base::ErrorCode::EndpointRefused;
  Later(refused ? m_options.m_afterRefusal : m_options.m_retry);
}

void StoreFollower::Later(base::Duration aDelay)
{
  std::weak_ptr<StoreFollower> weak = weak_from_this();
  m_timer = m_loop.After(aDelay, [weak] {
    if (const auto self = weak.lock(); self && !self->m_stopped) {
      self->Read();
    }
  });
}

} // namespace ferrytray::cache
