#include "ferrytray/experiment/queues.hpp"

#include <algorithm> // for any_of, max

namespace ferrytray::experiment {

void ContextCache::Put(std::uint32_t aContext, std::uint32_t aBlocks)
{
  const auto found = m_entries.find(aContext);
  if (found != m_entries.end()) {
    m_used -= found->second.m_blocks;
    m_recent.erase(found->second.m_place);
    m_entries.erase(found);
  }
  if (aBlocks == 0 || aBlocks > m_capacity) {
    return;
  }
  m_recent.push_front(aContext);
  m_entries.emplace(aContext, Entry{ aBlocks, m_recent.begin() });
  m_used += aBlocks;
  while (m_used > m_capacity) {
    const auto oldest = m_entries.find(m_recent.back());
    m_used -= oldest->second.m_blocks;
    m_entries.erase(oldest);
    m_recent.pop_back();
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
  m_recent.clear();
  m_used = 0;
}

std::uint32_t StoreModel::Blocks(std::uint32_t aContext) const
{
  const auto found = m_kept.find(aContext);
  return m_dead || found == m_kept.end() ? 0 : found->second.m_blocks;
}

double StoreModel::Speed(std::uint32_t aContext) const
{
  const auto found = m_kept.find(aContext);
  const bool onDisk = found != m_kept.end() && found->second.m_onDisk;
  return onDisk ? std::min(m_options.m_diskBytesPerSecond, m_linkSpeed) : m_linkSpeed;
}

double StoreModel::Transfer(double aBytes, double aSpeed, double aNow)
{
  const double seconds = aBytes / aSpeed;
  m_linkFree = std::max(m_linkFree, aNow) + seconds;
  m_bytesMoved += aBytes;
  m_busySeconds += seconds;
  return m_linkFree;
}

void StoreModel::QueueExport(std::uint32_t aContext,
                             std::uint32_t aAccount,
                             std::uint32_t aBlocks,
                             double aNow)
{
  constexpr std::size_t kMostQueued = 64;
  UseIdleTime(aNow);
  if (m_exports.size() < kMostQueued) {
    m_exports.push_back({ aContext, aAccount, aBlocks, 0 });
  }
}

void StoreModel::UseIdleTime(double aNow)
{
  const double blockSeconds = m_options.m_bytesPerBlock / m_linkSpeed;
  while (!m_exports.empty() && m_linkFree < aNow) {
    QueuedExport& first = m_exports.front();
    Transfer(m_options.m_bytesPerBlock, m_linkSpeed, std::max(m_linkFree, m_idleSince));
    ++first.m_moved;
    if (first.m_moved >= first.m_blocks) {
      const QueuedExport done = first;
      m_exports.pop_front();
      Keep(done.m_context, done.m_account, done.m_blocks, m_linkFree);
    }
  }
  m_idleSince = std::max(aNow, m_linkFree - blockSeconds);
}

bool StoreModel::IsQueued(std::uint32_t aContext) const
{
  return std::any_of(m_exports.begin(), m_exports.end(), [&](const QueuedExport& aExport) {
    return aExport.m_context == aContext;
  });
}

void StoreModel::Touch(std::uint32_t aContext, double aNow)
{
  const auto found = m_kept.find(aContext);
  if (found != m_kept.end()) {
    found->second.m_usedAt = aNow;
  }
}

double StoreModel::Value(const Kept& aKept, double aNow) const
{
  if (m_options.m_keep == KeepRule::LeastRecent) {
    return aKept.m_usedAt;
  }
  const double seconds = aKept.m_blocks * m_options.m_tokensPerBlock / m_options.m_tokensPerSecond;
  const routing::RetentionCandidate candidate{ aKept.m_blocks * m_options.m_bytesPerBlock,
                                               seconds,
                                               base::FromSeconds(aNow - aKept.m_usedAt) };
  return routing::RetentionValue(candidate, m_gaps[aKept.m_account]);
}

std::unordered_map<std::uint32_t, StoreModel::Kept>::iterator StoreModel::Lowest(bool aOnDisk,
                                                                                 double aNow)
{
  auto lowest = m_kept.end();
  double lowestValue = 0;
  for (auto it = m_kept.begin(); it != m_kept.end(); ++it) {
    if (it->second.m_onDisk != aOnDisk) {
      continue;
    }
    const double value = Value(it->second, aNow);
    if (lowest == m_kept.end() || value < lowestValue) {
      lowest = it;
      lowestValue = value;
    }
  }
  return lowest;
}

bool StoreModel::Wants(std::uint32_t aAccount, std::uint32_t aBlocks, double aNow) const
{
  if (m_dead || aBlocks == 0) {
    return false;
  }
  if (m_options.m_keep == KeepRule::LeastRecent) {
    return true;
  }
  const double seconds = aBlocks * m_options.m_tokensPerBlock / m_options.m_tokensPerSecond;
  const routing::RetentionCandidate candidate{ aBlocks * m_options.m_bytesPerBlock, seconds, {} };
  const routing::StorePressure pressure{ 1e18,
                                         0,
                                         base::FromSeconds(std::max(0.0, m_linkFree - aNow)) };
  return routing::ShouldExport(candidate, m_gaps[aAccount], pressure, {});
}

void StoreModel::Keep(std::uint32_t aContext,
                      std::uint32_t aAccount,
                      std::uint32_t aBlocks,
                      double aNow)
{
  if (m_dead || m_kept.contains(aContext)) {
    return;
  }
  m_kept.emplace(aContext, Kept{ aAccount, aBlocks, aNow, false });
  m_memoryBlocks += aBlocks;
  while (m_memoryBlocks > m_options.m_storeMemoryBlocks) {
    const auto moved = Lowest(false, aNow);
    moved->second.m_onDisk = true;
    m_memoryBlocks -= moved->second.m_blocks;
    m_diskBlocks += moved->second.m_blocks;
  }
  while (m_diskBlocks > m_options.m_storeDiskBlocks) {
    const auto freed = Lowest(true, aNow);
    m_diskBlocks -= freed->second.m_blocks;
    m_kept.erase(freed);
  }
}

void StoreModel::Kill()
{
  m_dead = true;
  m_kept.clear();
}

} // namespace ferrytray::experiment
