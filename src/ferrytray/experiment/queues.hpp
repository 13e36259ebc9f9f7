#pragma once

#include <cstdint>       // for uint32_t
#include <deque>         // for deque
#include <functional>    // for function
#include <list>          // for list
#include <map>           // for map
#include <set>           // for set
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/experiment/model.hpp"  // for ModelOptions
#include "ferrytray/routing/retention.hpp" // for ReturnHistogram

namespace ferrytray::experiment {

/// A worker's memory: an LRU cache of contexts.
class ContextCache
{
public:
  explicit ContextCache(std::uint32_t aCapacity)
    : m_capacityBlocks(aCapacity)
  {
  }
  void Put(std::uint32_t aContext, std::uint32_t aBlocks);
  [[nodiscard]] std::uint32_t Blocks(std::uint32_t aContext) const;
  void Clear();

private:
  struct Entry
  {
    std::uint32_t m_blocks;
    std::list<std::uint32_t>::iterator m_recencyPosition;
  };
  std::uint32_t m_capacityBlocks;
  std::uint32_t m_usedBlocks = 0;
  std::list<std::uint32_t> m_recencyOrder;
  std::unordered_map<std::uint32_t, Entry> m_entries;
};

/// A store of contexts with a memory tier, a disk tier and one link.
class StoreModel
{
public:
  StoreModel(const ModelOptions& aOptions,
             const std::vector<routing::ReturnHistogram>& aReturnHistograms)
    : m_options(aOptions)
    , m_returnHistograms(aReturnHistograms)
    , m_linkSpeed(aOptions.m_linkBytesPerSecond)
  {
  }

  /// The number of stored blocks of a context.
  [[nodiscard]] std::uint32_t Blocks(std::uint32_t aContext) const;
  /// The speed of importing a context.
  [[nodiscard]] double BytesPerSecond(std::uint32_t aContext) const;
  [[nodiscard]] double LinkFreeAt() const { return m_linkFreeAt; }
  /// Schedules a transfer on the link. @return when it ends
  double ScheduleTransfer(double aBytes, double aSpeed, double aNow);
  void Touch(std::uint32_t aContext, double aNow);
  /// Queues an export, which runs block by block while no import uses the link.
  void QueueExport(std::uint32_t aContext,
                   std::uint32_t aAccount,
                   std::uint32_t aBlocks,
                   double aNow);
  /// Runs queued exports in the link's idle time up to now.
  void AdvanceExports(double aNow);
  [[nodiscard]] bool IsQueued(std::uint32_t aContext) const;
  /// Stores a context, demoting and evicting the least valuable ones.
  void Store(std::uint32_t aContext, std::uint32_t aAccount, std::uint32_t aBlocks, double aNow);
  /// Whether storing a context is worth its transfer.
  [[nodiscard]] bool IsWorthExporting(std::uint32_t aAccount,
                                      std::uint32_t aBlocks,
                                      double aNow) const;
  void Fail();
  void SetLinkSpeed(double aBytesPerSecond) { m_linkSpeed = aBytesPerSecond; }
  [[nodiscard]] double BytesTransferred() const { return m_bytesTransferred; }
  [[nodiscard]] double BusySeconds() const { return m_busySeconds; }

private:
  struct StoredContext
  {
    std::uint32_t m_account;
    std::uint32_t m_blocks;
    double m_lastUsedAt;
    bool m_onDisk;
  };

  struct QueuedExport
  {
    std::uint32_t m_context;
    std::uint32_t m_account;
    std::uint32_t m_blocks;
    std::uint32_t m_transferredBlocks;
  };

  [[nodiscard]] double Value(const StoredContext& aStored, double aNow) const;
  std::unordered_map<std::uint32_t, StoredContext>::iterator FindLeastValuable(bool aOnDisk,
                                                                               double aNow);

  ModelOptions m_options;
  const std::vector<routing::ReturnHistogram>& m_returnHistograms;
  std::unordered_map<std::uint32_t, StoredContext> m_stored;
  std::uint32_t m_memoryBlocks = 0;
  std::uint32_t m_diskBlocks = 0;
  std::deque<QueuedExport> m_exports;
  double m_linkSpeed;
  double m_linkFreeAt = 0;
  double m_idleSince = 0;
  double m_bytesTransferred = 0;
  double m_busySeconds = 0;
  bool m_failed = false;
};

/// A request that waits for or runs on a worker.
struct Job
{
  std::size_t m_index = 0;
  double m_arrivedAt = 0;
  double m_readyAt = 0;               ///< when its import is complete
  std::uint32_t m_importedBlocks = 0; ///< prefix blocks present after the import
  double m_expectedSeconds = 0;       ///< estimated engine time
};

/// A worker that runs one prefill at a time: the earliest arrival whose import is complete.
struct WorkerModel
{
  explicit WorkerModel(std::uint32_t aCacheBlocks)
    : m_cache(aCacheBlocks)
  {
  }
  ContextCache m_cache;
  std::vector<Job> m_waiting;
  double m_busyUntil = 0;
  double m_blockedUntil = 0; ///< swapping weights or down
  double m_slowness = 1;
  bool m_busy = false;
};

} // namespace ferrytray::experiment
