#pragma once

#include <deque>  // for deque
#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/gate/context_restore.hpp" // for StoreLookupResult

namespace ferrytray::gate {

/// @brief Export of a context that an engine has just processed.
struct ExportJob
{
  std::string m_request;
  std::string m_account;
  std::string m_engine;      ///< IP:PORT
  StoreLookupResult m_store; ///< result of the store lookup before the run
  std::vector<base::Digest128> m_blocks;
  double m_bytes = 0;            ///< size of the blocks to export
  double m_recomputeSeconds = 0; ///< compute time saved by a later restore
};

/// @brief Decides which contexts are worth storing and exports them to their stores.
///
/// Exports one context per store at a time, in chunks of a few blocks, and pauses while imports are
/// queued for the store's link.
class ContextExporter
{
public:
  explicit ContextExporter(GateCore& aCore)
    : m_core(aCore)
  {
  }

  /// @brief Queues the context for export if its value justifies the cost.
  void ExportIfWorthwhile(ExportJob aJob);

private:
  struct PendingExport
  {
    ExportJob m_job;
    double m_value = 0;
    std::size_t m_exportedBlocks = 0; ///< blocks that the store has already
  };

  void Enqueue(PendingExport aJob);
  void StartNext(const std::string& aStore);
  void CheckStore(const PendingExport& aJob);
  void OnStoreChecked(PendingExport aJob, const StoreLookupResult& aFound);
  void ExportChunk(const PendingExport& aJob);
  void Commit(const PendingExport& aJob,
              const std::string& aUpload,
              const std::string& aManifestReply);
  void Finish(PendingExport aJob, bool aExported);
  void WaitForLink(const PendingExport& aJob);

  GateCore& m_core;
  std::map<std::string, std::deque<PendingExport>> m_queued;
  std::map<std::string, bool> m_busy;
  std::map<std::string, net::TimerHandle> m_retryTimers;
};

} // namespace ferrytray::gate
