#include "ferrytray/gate/cache_event_poller.hpp"

#include <utility> // for move
#include <vector>  // for vector

#include <nlohmann/json.hpp> // for json

namespace ferrytray::gate {

namespace {

using nlohmann::json;

constexpr base::Duration kPollInterval = std::chrono::milliseconds(500);
constexpr base::Duration kRequestTimeout = std::chrono::seconds(2);

net::ClientRequest Get(const std::string& aAddress, const std::string& aPath)
{
  net::ClientRequest request;
  request.m_url = "http://" + aAddress + aPath;
  request.m_timeout = kRequestTimeout;
  return request;
}

std::vector<routing::CacheEvent> ReadEvents(const json& aReply)
{
  std::vector<routing::CacheEvent> events;
  for (const json& row : aReply.at("events")) {
    const auto block = base::DigestFromHex(row.at("block").get<std::string>());
    events.push_back({ row.at("sequence").get<std::uint64_t>(),
                       block.value_or(base::Digest128{}),
                       row.at("stored").get<bool>() });
  }
  return events;
}

std::vector<base::Digest128> ReadBlocks(const json& aReply)
{
  std::vector<base::Digest128> blocks;
  for (const json& name : aReply.at("blocks")) {
    const auto block = base::DigestFromHex(name.get<std::string>());
    if (block) {
      blocks.push_back(*block);
    }
  }
  return blocks;
}

} // namespace

void CacheEventPoller::Start()
{
  m_timer = m_core.m_loop.Every(kPollInterval, [this] { Poll(); });
}

void CacheEventPoller::Poll()
{
  for (const wire::EndpointStatus& endpoint : m_core.m_view.Endpoints()) {
    const bool sameZone = endpoint.m_host.m_zone == m_core.m_options.m_zone;
    const bool isEngine = endpoint.m_host.m_role == wire::Role::Engine;
    if (sameZone && isEngine && m_inFlight.insert(endpoint.m_host.m_name).second) {
      PollEvents(endpoint.m_host.m_name, endpoint.m_host.m_address);
    }
  }
}

void CacheEventPoller::PollEvents(const std::string& aWorker, const std::string& aAddress)
{
  const std::uint64_t last = m_core.m_view.Hints().LastSequence(aWorker);
  net::ClientRequest request = Get(aAddress, "/events?after=" + std::to_string(last));
  request.m_match = net::InOrder(); // each event has its sequence number
  m_core.m_http->Fetch(
    std::move(request),
    [this, aWorker, aAddress](const net::ClientOutcome& aOutcome, const std::string& aBody) {
      m_inFlight.erase(aWorker);
      if (aOutcome.m_status != 200) {
        return;
      }
      try {
        if (!m_core.m_view.Hints().OnEvents(aWorker, ReadEvents(json::parse(aBody)))) {
          m_core.m_metrics.Count("cache_event_gaps_total");
          FetchBlockList(aWorker, aAddress);
        }
      } catch (const json::exception&) {
        m_core.m_metrics.Count("cache_events_malformed_total");
      }
    });
}

void CacheEventPoller::FetchBlockList(const std::string& aWorker, const std::string& aAddress)
{
  m_core.m_http->Fetch(
    Get(aAddress, "/kv/list"),
    [this, aWorker](const net::ClientOutcome& aOutcome, const std::string& aBody) {
      const json reply = json::parse(aBody, nullptr, false);
      if (aOutcome.m_status != 200 || !reply.is_object() || !reply.contains("blocks")) {
        return;
      }
      const auto sequence = reply.value("sequence", std::uint64_t{ 0 });
      m_core.m_view.Hints().OnSnapshot(aWorker, sequence, ReadBlocks(reply));
    });
}

} // namespace ferrytray::gate
