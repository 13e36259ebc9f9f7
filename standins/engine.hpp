#pragma once

#include <deque>   // for deque
#include <map>     // for map
#include <memory>  // for shared_ptr
#include <string>  // for string
#include <utility> // for pair
#include <vector>  // for vector

#include "standins/engine_cache.hpp" // for EngineCache
#include "standins/standin.hpp"      // for json, ReplyPtr

namespace standins {

struct EngineOptions
{
  std::string m_incarnation;
  std::string m_version;
  std::string m_model;
  std::string m_weightStore; ///< "http://IP:PORT"; empty: swaps need no download
  double m_tokensPerSecond = 20000;
  ferrytray::base::Duration m_tokenTime = std::chrono::milliseconds(2);
  std::size_t m_cacheBlocks = 4096;
  std::size_t m_maxBatch = 64;
  std::size_t m_blockBytes = 1024;
  std::uint32_t m_blockTokens = 256;
  ferrytray::base::Duration m_swapTime = std::chrono::milliseconds(1000);
  ferrytray::base::Duration m_loadLag{};
  bool m_checksFencing = false;
};

/// A simulated model engine: batching, prefix cache, priorities, resumable and cancellable streams,
/// KV block import and export, cache events, weight swap orders. The generated text depends on the
/// content of the blocks used, so a wrong, partial or foreign block changes the text.
class Engine
{
public:
  Engine(ferrytray::net::Loop& aLoop, EngineOptions aOptions);
  void Handle(const ferrytray::net::HttpRequest& aRequest, const ReplyPtr& aReply);

private:
  using Request = ferrytray::net::HttpRequest;

  struct Run
  {
    std::string m_attempt;
    std::string m_request;
    std::string m_salt;
    std::string m_prompt;
    std::string m_version;
    std::vector<std::string> m_blocks;
    std::vector<std::string> m_importedBlocks; ///< block contents, the first at m_importSkip
    std::size_t m_importSkip = 0;
    std::vector<std::string> m_reusedBlocks; ///< copied when the prefill starts
    std::uint64_t m_priority = 0;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_tokensLeft = 0;
    std::uint32_t m_tokensEmitted = 0;
    std::uint32_t m_cachedTokens = 0;
    std::uint32_t m_restoredTokens = 0;
    std::uint32_t m_promptTokens = 0;
    std::string m_seed;
    std::string m_text;
    bool m_finished = false;
    bool m_cancelled = false;
    std::vector<ReplyPtr> m_readers;
  };
  using RunPtr = std::shared_ptr<Run>;

  void OnCompletion(const Request& aRequest, const ReplyPtr& aReply);
  void OnStream(const Request& aRequest, const ReplyPtr& aReply);
  void OnImport(const json& aBody, const ReplyPtr& aReply);
  void OnExport(const json& aBody, const ReplyPtr& aReply);
  void OnOrder(const json& aBody, const ReplyPtr& aReply);
  void OnEvents(const Request& aRequest, const ReplyPtr& aReply);
  void OnLoad(const ReplyPtr& aReply);
  void OnFaults(const json& aBody, const ReplyPtr& aReply);

  [[nodiscard]] std::string RejectionReason(const json& aBody) const;
  RunPtr MakeRun(const json& aBody);
  void AddReader(const RunPtr& aRun, const ReplyPtr& aReply, std::size_t aOffset);
  void StartNextPrefill();
  void FinishPrefill(const RunPtr& aRun);
  void DecodeStep();
  void Emit(const RunPtr& aRun, const std::string& aText);
  void Finish(const RunPtr& aRun);
  std::vector<std::string> ComputeBlocks(const Run& aRun) const;
  [[nodiscard]] json CurrentLoad() const;
  void BeginSwap(const std::string& aVersion);

  ferrytray::net::Loop& m_loop;
  std::unique_ptr<ferrytray::net::HttpClient> m_http;
  EngineOptions m_options;
  EngineCache m_cache;
  std::map<std::string, RunPtr> m_runs;
  std::deque<std::string> m_retainedRuns;
  std::map<std::pair<std::uint64_t, std::uint64_t>, RunPtr> m_prefillQueue;
  std::vector<RunPtr> m_decoding;
  RunPtr m_prefilling;
  ferrytray::net::TimerHandle m_prefillTimer;
  ferrytray::net::TimerHandle m_decodeTimer;
  ferrytray::net::TimerHandle m_loadTimer;
  ferrytray::net::TimerHandle m_swapTimer;
  std::deque<std::pair<ferrytray::base::TimePoint, json>> m_loadReports;
  struct Import
  {
    std::size_t m_skip = 0;
    std::vector<std::string> m_values;
  };
  std::map<std::string, Import> m_imports;
  std::map<std::string, int> m_executions;
  std::vector<json> m_orders;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_highestFence = 0;
  std::string m_swapTarget;
  bool m_leaving = false;
  std::string m_retryAfter; ///< named in refusals; empty: requests are accepted
  int m_refusals = 0;       ///< with a delay
  double m_slowness = 1;
  int m_eventsToDrop = 0;
  std::string m_answerVersion; ///< injected fault: the version it reports; empty: the real one
  std::uint64_t m_eventPolls = 0;
};

} // namespace standins
