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
  std::string m_engine; ///< IP:PORT
  StoreFound m_store;   ///< what its home store had before the run
  std::vector<base::Digest128> m_blocks;
  double m_bytes = 0;            ///< that would be moved
  double m_recomputeSeconds = 0; ///< that keeping it can save
};

/// @brief Decides which contexts are kept, and moves them to their stores one at a time, a few
/// blocks at a time, while no import waits for the store's link.
class Exporter
{
public:
  explicit Exporter(GateCore& aCore)
    : m_core(aCore)
  {
  }

  /// @brief Keeps the context if that is worth it.
  void Consider(ExportJob aJob);

private:
  struct Job
  {
    ExportJob m_job;
    double m_worth = 0;
    std::size_t m_moved = 0; ///< blocks that are kept already
  };

  void Push(Job aJob);
  void StartNext(const std::string& aStore);
  void AskStore(const Job& aJob);
  void OnStore(Job aJob, const StoreFound& aFound);
  void MoveChunk(const Job& aJob);
  void Commit(const Job& aJob, const std::string& aUpload, const std::string& aManifestReply);
  void Finish(Job aJob, bool aKept);
  void WaitForLink(const Job& aJob);

  GateCore& m_core;
  std::map<std::string, std::deque<Job>> m_waiting;
  std::map<std::string, bool> m_busy;
  std::map<std::string, net::TimerHandle> m_pauses;
};

} // namespace ferrytray::gate
