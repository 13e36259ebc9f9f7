#include "standins/engine_cache.hpp"

namespace standins {

namespace {

constexpr std::size_t kMaxRetainedEvents = 2000;

} // namespace

void EngineCache::Put(const std::string& aBlock, const std::string& aValue)
{
  if (const auto found = m_blocks.find(aBlock); found != m_blocks.end()) {
    found->second.m_value = aValue;
    m_lruOrder.splice(m_lruOrder.begin(), m_lruOrder, found->second.m_position);
    return;
  }
  m_lruOrder.push_front(aBlock);
  m_blocks.emplace(aBlock, Entry{ aValue, m_lruOrder.begin() });
  AddEvent(aBlock, true);
  while (m_blocks.size() > m_capacity) {
    AddEvent(m_lruOrder.back(), false);
    m_blocks.erase(m_lruOrder.back());
    m_lruOrder.pop_back();
  }
}

std::string EngineCache::Get(const std::string& aBlock)
{
  const auto found = m_blocks.find(aBlock);
  if (found == m_blocks.end()) {
    return {};
  }
  m_lruOrder.splice(m_lruOrder.begin(), m_lruOrder, found->second.m_position);
  return found->second.m_value;
}

void EngineCache::Clear()
{
  for (const std::string& block : m_lruOrder) {
    AddEvent(block, false);
  }
  m_lruOrder.clear();
  m_blocks.clear();
}

std::vector<std::string> EngineCache::BlockNames() const
{
  return { m_lruOrder.begin(), m_lruOrder.end() };
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

void EngineCache::AddEvent(const std::string& aBlock, bool aStored)
{
  m_events.push_back({ ++m_sequence, aBlock, aStored });
  if (m_events.size() > kMaxRetainedEvents) {
    m_events.pop_front();
  }
}

} // namespace standins
