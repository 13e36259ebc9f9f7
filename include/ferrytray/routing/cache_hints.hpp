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

/// @brief One change of an engine's prefix cache. Events arrive with a delay.
struct CacheEvent
{
  std::uint64_t m_sequence = 0; ///< consecutive per engine
  base::Digest128 m_block;
  bool m_stored = false; ///< false: the block was evicted
};

/// @brief Tracks which worker probably caches which blocks.
///
/// The hints may be out of date; only the engine knows at the time of use what it has cached.
class CacheHints
{
public:
  /// @param aMaxBlocksPerWorker limit of blocks tracked per worker; the least recently used are
  /// evicted
  explicit CacheHints(std::size_t aMaxBlocksPerWorker)
    : m_maxBlocksPerWorker(aMaxBlocksPerWorker)
  {
  }

  /// @brief A request completed on the worker, so its blocks are cached there now.
  void OnRunCompleted(const std::string& aWorker, std::span<const base::Digest128> aBlocks);
  /// @brief The engine reported how many leading blocks it had cached; the others are removed.
  void OnCachedPrefixReported(const std::string& aWorker,
                              std::span<const base::Digest128> aBlocks,
                              std::uint32_t aFound);
  /// @brief Applies the engine's events since LastSequence().
  /// @return false if events are missing; the worker then has no hints until OnSnapshot()
  bool OnEvents(const std::string& aWorker, std::span<const CacheEvent> aEvents);
  /// @brief Replaces the worker's hints by a full listing of its cache.
  /// @param aSequence sequence number of the last event that the listing includes
  /// @param aBlocks most recently used first
  void OnSnapshot(const std::string& aWorker,
                  std::uint64_t aSequence,
                  std::span<const base::Digest128> aBlocks);
  /// @brief The worker was replaced or loaded other weights.
  void Forget(const std::string& aWorker) { m_workers.erase(aWorker); }

  /// @brief Number of leading blocks that are probably cached; 0 while a snapshot is needed.
  [[nodiscard]] std::uint32_t CachedPrefix(const std::string& aWorker,
                                           std::span<const base::Digest128> aBlocks) const;
  [[nodiscard]] std::uint64_t LastSequence(const std::string& aWorker) const;

private:
  struct Worker
  {
    std::list<base::Digest128> m_recent; ///< most recently used first
    std::unordered_map<base::Digest128, std::list<base::Digest128>::iterator, base::DigestHash>
      m_blocks;
    std::uint64_t m_sequence = 0;
    bool m_needsSnapshot = false; ///< events were missed
  };

  void Add(Worker& aWorker, const base::Digest128& aBlock) const;
  static void Drop(Worker& aWorker, const base::Digest128& aBlock);

  std::size_t m_maxBlocksPerWorker;
  std::map<std::string, Worker> m_workers;
};

} // namespace ferrytray::routing
