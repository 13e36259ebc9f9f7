#include "ferrytray/relay/store_watch.hpp"

namespace ferrytray::relay {

void StoreWatch::OnConfiguration()
{
  std::map<std::string, cache::StoreTraits> configured;
  for (const fleet::Service& service : m_core.m_configuration->Get().m_services) {
    if (service.m_kvStore) {
      configured[service.m_kvStore->m_address] = { service.m_kvStore->m_capacityTokens,
                                                   service.m_kvStore->m_linkMegabitsPerSecond };
    }
  }
  std::erase_if(m_core.m_stores, [&](const auto& aPair) {
    const bool removed = !configured.contains(aPair.first);
    const auto follower = m_followers.find(aPair.first);
    if (removed && follower != m_followers.end()) {
      follower->second->Stop();
      m_followers.erase(follower);
    }
    return removed;
  });
  for (const auto& [address, traits] : configured) {
    const bool isNew = m_core.m_stores.try_emplace(address, traits).second;
    if (isNew && m_isReader) {
      Follow(address);
    }
  }
}

void StoreWatch::SetReader(bool aIsReader)
{
  m_isReader = aIsReader;
  if (!m_isReader) {
    Stop();
    return;
  }
  for (const auto& [address, contents] : m_core.m_stores) {
    Follow(address);
  }
}

void StoreWatch::Follow(const std::string& aAddress)
{
  auto follower =
    std::make_shared<cache::StoreFollower>(m_core.m_loop, m_feed, m_core.m_stores, aAddress);
  if (m_followers.try_emplace(aAddress, follower).second) {
    follower->Start();
  }
}

void StoreWatch::Stop()
{
  for (const auto& [address, follower] : m_followers) {
    follower->Stop();
  }
  m_followers.clear();
}

} // namespace ferrytray::relay
