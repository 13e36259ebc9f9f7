#include "standins/engine_cache.hpp"

namespace standins {

namespace {

constexpr std::size_t kKeptEvents = 2000;

} // namespace

void EngineCache::Put(const std::string& aBlock, const std::string& aValue)
{
  if (const auto found = m_blocks.find(aBlock); found != m_blocks.end()) {
    found->second.m_value = aValue;
    m_recent.splice(m_recent.begin(), m_recent, found->second.m_place);
    return;
  }
  m_recent.push_front(aBlock);
  m_blocks.emplace(aBlock, Entry{ aValue, m_recent.begin() });
  Tell(aBlock, true);
  while (m_blocks.size() > m_capacity) {
    Tell(m_recent.back(), false);
    m_blocks.erase(m_recent.back());
    m_recent.pop_back();
  }
}

std::string EngineCache::Get(const std::string& aBlock)
{
  const auto found = m_blocks.find(aBlock);
  if (found == m_blocks.end()) {
    return {};
  }
  m_recent.splice(m_recent.begin(), m_recent, found->second.m_place);
  return found->second.m_value;
}

void EngineCache::Clear()
{
  for (const std::string& block : m_recent) {
    Tell(block, false);
  }
  m_recent.clear();
  m_blocks.clear();
}

std::vector<std::string> EngineCache::Names() const
{
  return { m_recent.begin(), m_recent.end() };
}

std::vector<CacheEvent> EngineCache::EventsAfter(std::uint64_t aSequence) const
{
  std::vector<CacheEvent> events;
  for (const CacheEvent& event : m_events) {
    if (event.m_sequence > aSequence) {
      events.push_back(event);
    }
  }
  return events;
}

void EngineCache::Tell(const std::string& aBlock, bool aStored)
{
  m_events.push_back({ ++m_sequence, aBlock, aStored });
  if (m_events.size() > kKeptEvents) {
    m_events.pop_front();
  }
}

} // namespace standins
