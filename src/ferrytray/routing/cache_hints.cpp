#include "ferrytray/routing/cache_hints.hpp"

namespace ferrytray::routing {

void CacheHints::OnRunCompleted(const std::string& aWorker,
                                std::span<const base::Digest128> aBlocks)
{
  Worker& worker = m_workers[aWorker];
  for (const base::Digest128& block : aBlocks) {
    Add(worker, block);
  }
}

void CacheHints::OnCachedPrefixReported(const std::string& aWorker,
                                        std::span<const base::Digest128> aBlocks,
                                        std::uint32_t aFound)
{
  Worker& worker = m_workers[aWorker];
  for (std::size_t i = aFound; i < aBlocks.size(); ++i) {
    Drop(worker, aBlocks[i]);
  }
}

bool CacheHints::OnEvents(const std::string& aWorker, std::span<const CacheEvent> aEvents)
{
  Worker& worker = m_workers[aWorker];
  for (const CacheEvent& event : aEvents) {
    if (event.m_sequence <= worker.m_sequence) {
      continue;
    }
    if (event.m_sequence != worker.m_sequence + 1) {
      worker.m_needsSnapshot = true;
      return false;
    }
    worker.m_sequence = event.m_sequence;
    if (event.m_stored) {
      Add(worker, event.m_block);
    } else {
      Drop(worker, event.m_block);
    }
  }
  return !worker.m_needsSnapshot;
}

void CacheHints::OnSnapshot(const std::string& aWorker,
                            std::uint64_t aSequence,
                            std::span<const base::Digest128> aBlocks)
{
  Worker snapshot;
  snapshot.m_sequence = aSequence;
  // aBlocks is ordered most recent first, and Add() puts each block in front.
  for (auto block = aBlocks.rbegin(); block != aBlocks.rend(); ++block) {
    Add(snapshot, *block);
  }
  m_workers[aWorker] = std::move(snapshot);
}

std::uint32_t CacheHints::CachedPrefix(const std::string& aWorker,
                                       std::span<const base::Digest128> aBlocks) const
{
  const auto found = m_workers.find(aWorker);
  if (found == m_workers.end() || found->second.m_needsSnapshot) {
    return 0;
  }
  std::uint32_t count = 0;
  while (count < aBlocks.size() && found->second.m_blocks.contains(aBlocks[count])) {
    ++count;
  }
  return count;
}

std::uint64_t CacheHints::LastSequence(const std::string& aWorker) const
{
  const auto found = m_workers.find(aWorker);
  return found == m_workers.end() ? 0 : found->second.m_sequence;
}

void CacheHints::Add(Worker& aWorker, const base::Digest128& aBlock) const
{
  const auto found = aWorker.m_blocks.find(aBlock);
  if (found != aWorker.m_blocks.end()) {
    aWorker.m_recent.splice(aWorker.m_recent.begin(), aWorker.m_recent, found->second);
    return;
  }
  aWorker.m_recent.push_front(aBlock);
  aWorker.m_blocks.emplace(aBlock, aWorker.m_recent.begin());
  if (aWorker.m_blocks.size() > m_maxBlocksPerWorker) {
    aWorker.m_blocks.erase(aWorker.m_recent.back());
    aWorker.m_recent.pop_back();
  }
}

void CacheHints::Drop(Worker& aWorker, const base::Digest128& aBlock)
{
  const auto found = aWorker.m_blocks.find(aBlock);
  if (found != aWorker.m_blocks.end()) {
    aWorker.m_recent.erase(found->second);
    aWorker.m_blocks.erase(found);
  }
}

} // namespace ferrytray::routing
