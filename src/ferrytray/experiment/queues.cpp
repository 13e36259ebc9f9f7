#include "ferrytray/experiment/queues.hpp"

#include <algorithm> // for any_of, max

namespace ferrytray::experiment {

void ContextCache::Put(std::uint32_t aContext, std::uint32_t aBlocks)
{
  const auto found = m_entries.find(aContext);
  if (found != m_entries.end()) {
    m_usedBlocks -= found->second.m_blocks;
    m_recencyOrder.erase(found->second.m_recencyPosition);
    m_entries.erase(found);
  }
  if (aBlocks == 0 || aBlocks > m_capacityBlocks) {
    return;
  }
  m_recencyOrder.push_front(aContext);
  m_entries.emplace(aContext, Entry{ aBlocks, m_recencyOrder.begin() });
  m_usedBlocks += aBlocks;
  while (m_usedBlocks > m_capacityBlocks) {
    const auto oldest = m_entries.find(m_recencyOrder.back());
    m_usedBlocks -= oldest->second.m_blocks;
    m_entries.erase(oldest);
    m_recencyOrder.pop_back();
  }
}

std::uint32_t ContextCache::Blocks(std::uint32_t aContext) const
{
  const auto found = m_entries.find(aContext);
  return found == m_entries.end() ? 0 : found->second.m_blocks;
}

void ContextCache::Clear()
{
  m_entries.clear();
  m_recencyOrder.clear();
  m_usedBlocks = 0;
}

std::uint32_t StoreModel::Blocks(std::uint32_t aContext) const
{
  const auto found = m_stored.find(aContext);
  return m_failed || found == m_stored.end() ? 0 : found->second.m_blocks;
}

double StoreModel::BytesPerSecond(std::uint32_t aContext) const
{
  const auto found = m_stored.find(aContext);
  const bool onDisk = found != m_stored.end() && found->second.m_onDisk;
  return onDisk ? std::min(m_options.m_diskBytesPerSecond, m_linkSpeed) : m_linkSpeed;
}

double StoreModel::ScheduleTransfer(double aBytes, double aSpeed, double aNow)
{
  const double seconds = aBytes / aSpeed;
  m_linkFreeAt = std::max(m_linkFreeAt, aNow) + seconds;
  m_bytesTransferred += aBytes;
  m_busySeconds += seconds;
  return m_linkFreeAt;
}

void StoreModel::QueueExport(std::uint32_t aContext,
                             std::uint32_t aAccount,
                             std::uint32_t aBlocks,
                             double aNow)
{
  constexpr std::size_t kMaxQueuedExports = 64;
  AdvanceExports(aNow);
  if (m_exports.size() < kMaxQueuedExports) {
    m_exports.push_back({ aContext, aAccount, aBlocks, 0 });
  }
}

void StoreModel::AdvanceExports(double aNow)
{
  const double blockSeconds = m_options.m_bytesPerBlock / m_linkSpeed;
  while (!m_exports.empty() && m_linkFreeAt < aNow) {
    QueuedExport& first = m_exports.front();
    ScheduleTransfer(m_options.m_bytesPerBlock, m_linkSpeed, std::max(m_linkFreeAt, m_idleSince));
    ++first.m_transferredBlocks;
    if (first.m_transferredBlocks >= first.m_blocks) {
      const QueuedExport done = first;
      m_exports.pop_front();
      Store(done.m_context, done.m_account, done.m_blocks, m_linkFreeAt);
    }
  }
  m_idleSince = std::max(aNow, m_linkFreeAt - blockSeconds);
}

bool StoreModel::IsQueued(std::uint32_t aContext) const
{
  return std::any_of(m_exports.begin(), m_exports.end(), [&](const QueuedExport& aExport) {
    return aExport.m_context == aContext;
  });
}

void StoreModel::Touch(std::uint32_t aContext, double aNow)
{
  const auto found = m_stored.find(aContext);
  if (found != m_stored.end()) {
    found->second.m_lastUsedAt = aNow;
  }
}

double StoreModel::Value(const StoredContext& aStored, double aNow) const
{
  if (m_options.m_evictionRule == EvictionRule::LeastRecentlyUsed) {
    return aStored.m_lastUsedAt;
  }
  const double seconds =
    aStored.m_blocks * m_options.m_tokensPerBlock / m_options.m_tokensPerSecond;
  const routing::RetentionCandidate candidate{ aStored.m_blocks * m_options.m_bytesPerBlock,
                                               seconds,
                                               base::FromSeconds(aNow - aStored.m_lastUsedAt) };
  return routing::RetentionValue(candidate, m_returnHistograms[aStored.m_account]);
}

std::unordered_map<std::uint32_t, StoreModel::StoredContext>::iterator
StoreModel::FindLeastValuable(bool aOnDisk, double aNow)
{
  auto lowest = m_stored.end();
  double lowestValue = 0;
  for (auto it = m_stored.begin(); it != m_stored.end(); ++it) {
    if (it->second.m_onDisk != aOnDisk) {
      continue;
    }
    const double value = Value(it->second, aNow);
    if (lowest == m_stored.end() || value < lowestValue) {
      lowest = it;
      lowestValue = value;
    }
  }
  return lowest;
}

bool StoreModel::IsWorthExporting(std::uint32_t aAccount, std::uint32_t aBlocks, double aNow) const
{
  if (m_failed || aBlocks == 0) {
    return false;
  }
  if (m_options.m_evictionRule == EvictionRule::LeastRecentlyUsed) {
    return true;
  }
  const double seconds = aBlocks * m_options.m_tokensPerBlock / m_options.m_tokensPerSecond;
  const routing::RetentionCandidate candidate{ aBlocks * m_options.m_bytesPerBlock, seconds, {} };
  const routing::StorePressure pressure{ 1e18,
                                         0,
                                         base::FromSeconds(std::max(0.0, m_linkFreeAt - aNow)) };
  return routing::ShouldExport(candidate, m_returnHistograms[aAccount], pressure, {});
}

void StoreModel::Store(std::uint32_t aContext,
                       std::uint32_t aAccount,
                       std::uint32_t aBlocks,
                       double aNow)
{
  if (m_failed || m_stored.contains(aContext)) {
    return;
  }
  m_stored.emplace(aContext, StoredContext{ aAccount, aBlocks, aNow, false });
  m_memoryBlocks += aBlocks;
  while (m_memoryBlocks > m_options.m_storeMemoryBlocks) {
    const auto demoted = FindLeastValuable(false, aNow);
    demoted->second.m_onDisk = true;
    m_memoryBlocks -= demoted->second.m_blocks;
    m_diskBlocks += demoted->second.m_blocks;
  }
  while (m_diskBlocks > m_options.m_storeDiskBlocks) {
    const auto evicted = FindLeastValuable(true, aNow);
    m_diskBlocks -= evicted->second.m_blocks;
    m_stored.erase(evicted);
  }
}

void StoreModel::Fail()
{
  m_failed = true;
  m_stored.clear();
}

} // namespace ferrytray::experiment
