#pragma once

#include <cstddef>       // for size_t
#include <deque>         // for deque
#include <list>          // for list
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

namespace standins {

/// One change of the cache, as an engine publishes it.
struct CacheEvent
{
  std::uint64_t m_sequence = 0;
  std::string m_block;
  bool m_stored = false;
};

/// The engine's prefix cache: block name to content, least recently used out first.
class EngineCache
{
public:
  explicit EngineCache(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  void Put(const std::string& aBlock, const std::string& aValue);
  /// The content, or empty; a hit makes it the most recent.
  std::string Get(const std::string& aBlock);
  void Clear();
  [[nodiscard]] std::vector<std::string> BlockNames() const;
  /// Events after a sequence number. Old ones are forgotten, which the reader sees as a gap.
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
