#pragma once

#include <cstddef>       // for size_t
#include <deque>         // for deque
#include <list>          // for list
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

namespace standins {

/// A published change of the cache: a block was stored or evicted.
struct CacheEvent
{
  std::uint64_t m_sequence = 0;
  std::string m_block;
  bool m_stored = false;
};

/// The engine's prefix cache with LRU eviction: maps block names to contents.
class EngineCache
{
public:
  explicit EngineCache(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  void Put(const std::string& aBlock, const std::string& aValue);
  /// Returns the content, or an empty string. A hit makes the block the most recently used.
  std::string Get(const std::string& aBlock);
  void Clear();
  [[nodiscard]] std::vector<std::string> BlockNames() const;
  /// Returns the events after a sequence number. Old events are discarded, which a reader sees as a
  /// gap in the numbers.
  [[nodiscard]] std::vector<CacheEvent> EventsAfter(std::uint64_t aSequence) const;
  [[nodiscard]] std::uint64_t LastSequence() const { return m_sequence; }

private:
  struct Entry
  {
    std::string m_value;
    std::list<std::string>::iterator m_position;
  };

  void AddEvent(const std::string& aBlock, bool aStored);

  std::size_t m_capacity;
  std::uint64_t m_sequence = 0;
  std::list<std::string> m_lruOrder;
  std::unordered_map<std::string, Entry> m_blocks;
  std::deque<CacheEvent> m_events;
};

} // namespace standins
