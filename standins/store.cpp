#include "standins/store.hpp"

#include <algorithm> // for max, min_element

#include "ferrytray/base/digest.hpp" // for HashWithSeed

namespace standins {

using namespace ferrytray;

namespace {

std::string Checksum(const std::string& aValue)
{
  return base::ToHex(base::HashWithSeed(base::HashWithSeed({}, ""), aValue));
}

} // namespace

Store::Store(net::Loop& aLoop, StoreOptions aOptions)
  : m_loop(aLoop)
  , m_options(aOptions)
{
}

void Store::Handle(const net::HttpRequest& aRequest, const ReplyPtr& aReply)
{
  const json body = ParseBody(aRequest.m_body);
  const std::string& path = aRequest.m_path;
  if (path == "/kv/lookup") {
    OnLookup(body, aReply);
  } else if (path == "/kv/read") {
    OnRead(body, aReply);
  } else if (path == "/kv/confirm") {
    OnConfirm(body, aReply);
  } else if (path == "/kv/stage") {
    OnStage(body, aReply);
  } else if (path == "/kv/commit") {
    OnCommit(body, aReply);
  } else if (path == "/kv/free") {
    OnFree(body, aReply);
  } else if (path == "/stat") {
    SendJson(aReply,
             200,
             { { "blocks", m_blocks.size() },
               { "staged", m_staged.size() },
               { "bytes_moved", m_bytesTransferred } });
  } else if (path == "/admin/faults") {
    OnFaults(body, aReply);
  } else {
    SendError(aReply, 404, "no such path", false);
  }
}

void Store::OnLookup(const json& aBody, const ReplyPtr& aReply)
{
  json generations = json::array();
  bool disk = false;
  for (const std::string name : aBody.at("blocks")) {
    const auto found = m_blocks.find(name);
    if (found == m_blocks.end()) {
      break;
    }
    disk = disk || found->second.m_onDisk;
    generations.push_back(found->second.m_generation);
  }
  double lowest = 0;
  const std::size_t capacity = m_options.m_memoryBlocks + m_options.m_diskBlocks;
  if (m_blocks.size() >= capacity) {
    lowest =
      std::min_element(m_blocks.begin(), m_blocks.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.m_worth < aRight.second.m_worth;
      })->second.m_worth;
  }
  const double freeBlocks =
    m_full ? 0.0 : static_cast<double>(capacity - std::min(capacity, m_blocks.size()));
  SendJson(aReply,
           200,
           { { "generations", generations },
             { "link_queue_ms", LinkQueueDelay().count() / 1000 },
             { "bytes_per_second",
               disk ? m_options.m_diskBytesPerSecond : m_options.m_linkBytesPerSecond },
             { "free_bytes", freeBlocks * m_options.m_bytesPerBlock },
             { "lowest_worth", lowest } });
}

void Store::OnRead(const json& aBody, const ReplyPtr& aReply)
{
  json rows = json::array();
  bool disk = false;
  for (const std::string name : aBody.at("blocks")) {
    const auto found = m_blocks.find(name);
    if (found == m_blocks.end()) {
      break;
    }
    const Block& block = found->second;
    disk = disk || block.m_onDisk;
    const std::string value =
      m_truncateReads ? block.m_value.substr(0, block.m_value.size() / 2) : block.m_value;
    rows.push_back({ { "block", name },
                     { "value", value },
                     { "length", block.m_length },
                     { "checksum", block.m_checksum } });
  }
  if (m_freeOnRead) {
    // Simulates blocks that are freed and whose memory is reused during the transfer: other content
    // with a valid checksum.
    for (json& row : rows) {
      m_blocks.erase(row.at("block").get<std::string>());
      row["value"] = Checksum("reused" + row.at("value").get<std::string>());
      row["checksum"] = Checksum(row.at("value").get<std::string>());
    }
  }
  const double bytes = static_cast<double>(rows.size()) * m_options.m_bytesPerBlock;
  Transfer(bytes, disk, [aReply, rows] { SendJson(aReply, 200, { { "blocks", rows } }); });
}

void Store::OnConfirm(const json& aBody, const ReplyPtr& aReply)
{
  const json& names = aBody.at("blocks");
  const json& generations = aBody.at("generations");
  bool same = names.size() == generations.size();
  for (std::size_t i = 0; same && i < names.size(); ++i) {
    const auto found = m_blocks.find(names[i].get<std::string>());
    same =
      found != m_blocks.end() && found->second.m_generation == generations[i].get<std::uint64_t>();
  }
  SendJson(aReply, 200, { { "same", same } });
}

void Store::OnStage(const json& aBody, const ReplyPtr& aReply)
{
  if (m_full) {
    SendError(aReply, 507, "full", false);
    return;
  }
  const double bytes = static_cast<double>(aBody.at("blocks").size()) * m_options.m_bytesPerBlock;
  Transfer(bytes, false, [this, aBody, aReply] {
    m_staged[aBody.at("upload").get<std::string>()] = aBody.at("blocks");
    SendJson(aReply, 200, { { "staged", aBody.at("blocks").size() } });
  });
}

void Store::OnCommit(const json& aBody, const ReplyPtr& aReply)
{
  const auto staged = m_staged.find(aBody.at("upload").get<std::string>());
  if (staged == m_staged.end()) {
    SendError(aReply, 404, "nothing staged", false);
    return;
  }
  std::size_t committed = 0;
  for (const json& row : staged->second) {
    const std::string value = row.at("value").get<std::string>();
    const bool intact = value.size() == row.at("length").get<std::size_t>() &&
                        Checksum(value) == row.at("checksum").get<std::string>();
    if (!intact) {
      break;
    }
    const auto [entry, added] = m_blocks.try_emplace(row.at("block").get<std::string>());
    entry->second.m_worth = std::max(entry->second.m_worth, aBody.value("worth", 0.0));
    if (added) {
      entry->second = {
        value, value.size(), Checksum(value), ++m_generation, aBody.value("worth", 0.0), false
      };
      ++m_memoryBlockCount;
    }
    ++committed;
  }
  m_staged.erase(staged);
  EvictExcessBlocks();
  SendJson(aReply, 200, { { "committed", committed } });
}

void Store::EvictExcessBlocks()
{
  const auto lessWorth = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.m_worth < aRight.second.m_worth;
  };
  while (m_memoryBlockCount > m_options.m_memoryBlocks) {
    auto lowest = m_blocks.end();
    for (auto it = m_blocks.begin(); it != m_blocks.end(); ++it) {
      if (!it->second.m_onDisk && (lowest == m_blocks.end() || lessWorth(*it, *lowest))) {
        lowest = it;
      }
    }
    lowest->second.m_onDisk = true;
    --m_memoryBlockCount;
  }
  while (m_blocks.size() > m_options.m_memoryBlocks + m_options.m_diskBlocks) {
    const auto lowest = std::min_element(m_blocks.begin(), m_blocks.end(), lessWorth);
    m_memoryBlockCount -= lowest->second.m_onDisk ? 0 : 1;
    m_blocks.erase(lowest);
  }
}

void Store::OnFree(const json& aBody, const ReplyPtr& aReply)
{
  for (const std::string name : aBody.at("blocks")) {
    const auto found = m_blocks.find(name);
    if (found != m_blocks.end()) {
      m_memoryBlockCount -= found->second.m_onDisk ? 0 : 1;
      m_blocks.erase(found);
    }
  }
  SendJson(aReply, 200, json::object());
}

void Store::OnFaults(const json& aBody, const ReplyPtr& aReply)
{
  m_truncateReads = aBody.value("truncate", m_truncateReads);
  m_freeOnRead = aBody.value("free_on_read", m_freeOnRead);
  m_full = aBody.value("full", m_full);
  m_options.m_linkBytesPerSecond = aBody.value("bytes_per_second", m_options.m_linkBytesPerSecond);
  if (aBody.value("free_all", false)) {
    m_blocks.clear();
    m_memoryBlockCount = 0;
  }
  SendJson(aReply, 200, json::object());
}

base::Duration Store::LinkQueueDelay() const
{
  return std::max(m_linkIdleAt - base::MonotonicNow(), base::Duration::zero());
}

void Store::Transfer(double aBytes, bool aFromDisk, std::function<void()> aDone)
{
  const double speed = aFromDisk ? m_options.m_diskBytesPerSecond : m_options.m_linkBytesPerSecond;
  const base::TimePoint start = std::max(m_linkIdleAt, base::MonotonicNow());
  m_linkIdleAt = start + base::FromSeconds(aBytes / speed);
  m_bytesTransferred += aBytes;
  auto timer = std::make_shared<net::TimerHandle>();
  *timer = m_loop.After(m_linkIdleAt - base::MonotonicNow(), [done = std::move(aDone), timer] {
    done();
    timer->reset();
  });
}

} // namespace standins
