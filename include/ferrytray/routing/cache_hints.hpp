#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t, uint64_t
#include <list>          // for list
#include <map>           // for map
#include <span>          // for span
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/digest.hpp" // for Digest128

namespace ferrytray::routing {

/// @brief One change of an engine's prefix cache, as the engine tells it, late.
struct CacheEvent
{
  std::uint64_t m_sequence = 0;
  base::Digest128 m_block;
  bool m_stored = false;
};

/// @brief Which worker probably has which blocks. Hints only: the engine's word at the time of
/// use is the truth.
class CacheHints
{
public:
  /// @param aMaxBlocksPerWorker the most that is remembered of one worker
  explicit CacheHints(std::size_t aMaxBlocksPerWorker)
    : m_maxBlocksPerWorker(aMaxBlocksPerWorker)
  {
  }

  /// @brief A run ended there, so its blocks are there now.
  void OnRunCompleted(const std::string& aWorker, std::span<const base::Digest128> aBlocks);
  /// @brief The engine said how many blocks it really had; the rest are forgotten.
  void OnCachedPrefixReported(const std::string& aWorker,
                              std::span<const base::Digest128> aBlocks,
                              std::uint32_t aFound);
  /// @brief The engine's events since LastSequence().
  /// @return false when events are missing: the worker's hints are unknown until OnSnapshot
  bool OnEvents(const std::string& aWorker, std::span<const CacheEvent> aEvents);
  /// @brief The whole cache, listed afresh.
  void OnSnapshot(const std::string& aWorker,
                  std::uint64_t aSequence,
                  std::span<const base::Digest128> aBlocks);
  /// @brief The worker was replaced or has swapped its weights.
  void Forget(const std::string& aWorker) { m_workers.erase(aWorker); }

  /// @brief How many blocks from the first on are probably there; 0 while unknown.
  [[nodiscard]] std::uint32_t CachedPrefix(const std::string& aWorker,
                                           std::span<const base::Digest128> aBlocks) const;
  [[nodiscard]] std::uint64_t LastSequence(const std::string& aWorker) const;

private:
  struct Worker
  {
    std::list<base::Digest128> m_recent;
    std::unordered_map<base::Digest128, std::list<base::Digest128>::iterator, base::DigestHash>
      m_blocks;
    std::uint64_t m_sequence = 0;
    bool m_needsSnapshot = false;
  };

  void Add(Worker& aWorker, const base::Digest128& aBlock) const;
  static void Drop(Worker& aWorker, const base::Digest128& aBlock);

  std::size_t m_maxBlocksPerWorker;
  std::map<std::string, Worker> m_workers;
};

} // namespace ferrytray::routing
