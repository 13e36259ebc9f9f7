#pragma once

#include <deque>  // for deque
#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/gate/context_restore.hpp" // for StoreFound

namespace ferrytray::gate {

/// @brief A context that has just been run.
struct ExportJob
{
  std::string m_request;
  std::string m_account;
  std::string m_engine;      ///< IP:PORT
  StoreLookupResult m_store; ///< what its home store had before the run
  std::vector<base::Digest128> m_blocks;
  double m_bytes = 0;            ///< that would be moved
  double m_recomputeSeconds = 0; ///< that keeping it can save
};

/// @brief Decides which contexts are kept, and moves them to their stores one at a time, a few
/// blocks at a time, while no import waits for the store's link.
class ContextExporter
{
public:
  explicit ContextExporter(GateCore& aCore)
    : m_core(aCore)
  {
  }

  /// @brief Keeps the context if that is worth it.
  void ExportIfWorthwhile(ExportJob aJob);

private:
  struct PendingExport
  {
    ExportJob m_job;
    double m_value = 0;
    std::size_t m_exportedBlocks = 0; ///< blocks that are kept already
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
