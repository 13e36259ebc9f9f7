#pragma once

#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include "standins/standin.hpp" // for json, ReplyPtr

namespace standins {

struct StoreOptions
{
  std::size_t m_memoryBlocks = 10000;
  std::size_t m_diskBlocks = 100000;
  double m_linkBytesPerSecond = 1e9;
  double m_diskBytesPerSecond = 2e8;
  double m_bytesPerBlock = 33554432; ///< simulated transfer size of a block
};

/// A simulated KV block store: memory and disk tiers, a link of limited bandwidth, two-phase
/// uploads (stage, then commit) and frees.
class Store
{
public:
  Store(ferrytray::net::Loop& aLoop, StoreOptions aOptions);
  void Handle(const ferrytray::net::HttpRequest& aRequest, const ReplyPtr& aReply);

private:
  struct Block
  {
    std::string m_value;
    std::size_t m_length = 0;
    std::string m_checksum;
    std::uint64_t m_generation = 0;
    double m_worth = 0; ///< the savings claimed at the commit; the lowest is evicted first
    bool m_onDisk = false;
  };

  void OnLookup(const json& aBody, const ReplyPtr& aReply);
  void OnRead(const json& aBody, const ReplyPtr& aReply);
  void OnConfirm(const json& aBody, const ReplyPtr& aReply);
  void OnStage(const json& aBody, const ReplyPtr& aReply);
  void OnCommit(const json& aBody, const ReplyPtr& aReply);
  void OnFree(const json& aBody, const ReplyPtr& aReply);
  void OnFaults(const json& aBody, const ReplyPtr& aReply);

  /// Queues a transfer on the link and calls aDone when it is complete.
  void Transfer(double aBytes, bool aFromDisk, std::function<void()> aDone);
  [[nodiscard]] ferrytray::base::Duration LinkQueueDelay() const;
  void EvictExcessBlocks();

  ferrytray::net::Loop& m_loop;
  StoreOptions m_options;
  std::map<std::string, Block> m_blocks;
  std::map<std::string, json> m_staged;
  std::size_t m_memoryBlockCount = 0;
  std::uint64_t m_generation = 0;
  ferrytray::base::TimePoint m_linkIdleAt{};
  double m_bytesTransferred = 0;
  bool m_truncateReads = false;
  bool m_freeOnRead = false;
  bool m_full = false;
};

} // namespace standins
