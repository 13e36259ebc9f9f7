#include "ferrytray/gate/context_restore.hpp"

#include <nlohmann/json.hpp> // for json

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

using nlohmann::json;

constexpr base::Duration kLookupTimeout = std::chrono::milliseconds(200);
constexpr base::Duration kConfirmTimeout = std::chrono::milliseconds(500);
constexpr base::Duration kImportTimeout = std::chrono::seconds(20);
constexpr base::Duration kImportLatency = std::chrono::milliseconds(2);
constexpr double kMillisPerSecond = 1000;

std::vector<std::string> HexDigests(std::span<const base::Digest128> aBlocks)
{
  std::vector<std::string> names;
  names.reserve(aBlocks.size());
  for (const base::Digest128& block : aBlocks) {
    names.push_back(base::ToHex(block));
  }
  return names;
}

net::ClientRequest PostJson(const std::string& aAddress,
                            const std::string& aPath,
                            const json& aBody,
                            base::Duration aTimeout)
{
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + aAddress + aPath;
  request.m_headers = { { "Content-Type", "application/json" } };
  request.m_body = aBody.dump();
  request.m_timeout = aTimeout;
  request.m_connectTimeout = aTimeout;
  return request;
}

StoreLookupResult ParseLookupReply(const wire::ListedHost& aStore,
                                   const net::ClientOutcome& aOutcome,
                                   const std::string& aBody)
{
  StoreLookupResult result;
  if (aOutcome.m_status != 200) {
    return result;
  }
  try {
    const json reply = json::parse(aBody);
    result.m_generations = reply.at("generations").get<std::vector<std::uint64_t>>();
    result.m_view.m_storedBlocks = static_cast<std::uint32_t>(result.m_generations.size());
    result.m_view.m_linkQueue =
      base::FromSeconds(reply.at("link_queue_ms").get<double>() / kMillisPerSecond);
    result.m_view.m_bytesPerSecond = std::max(1.0, reply.at("bytes_per_second").get<double>());
    result.m_view.m_roundTrip = kImportLatency;
    result.m_pressure.m_freeBytes = reply.at("free_bytes").get<double>();
    result.m_pressure.m_lowestValue = reply.at("lowest_worth").get<double>();
    result.m_pressure.m_importQueue = result.m_view.m_linkQueue;
    result.m_store = aStore.m_name;
    result.m_address = aStore.m_address;
  } catch (const json::exception& error) {
    telemetry::LogLine("store_unreadable").Add("store", aStore.m_name).Add("why", error.what());
    return {};
  }
  return result;
}

/// Collects the replies of all queried stores.
struct PendingLookup
{
  std::size_t m_remaining = 0;
  std::vector<StoreLookupResult> m_results; ///< in the order of the context's home stores
  std::function<void(const StoreLookupResult&)> m_done;
};

/// The result with the most blocks; on ties the first home store, so that all gates pick the same.
const StoreLookupResult& SelectBest(const std::vector<StoreLookupResult>& aLookup)
{
  const StoreLookupResult* best = &aLookup.front();
  for (const StoreLookupResult& result : aLookup) {
    const bool better =
      best->m_address.empty() || result.m_view.m_storedBlocks > best->m_view.m_storedBlocks;
    if (!result.m_address.empty() && better) {
      best = &result;
    }
  }
  return *best;
}

void ConfirmGenerations(GateCore& aCore,
                        const ImportRequest& aRequest,
                        const std::string& aImport,
                        std::uint32_t aImported,
                        std::function<void(std::optional<std::string>)> aDone)
{
  const std::span<const base::Digest128> blocks(aRequest.m_blocks);
  const auto& generations = aRequest.m_storeLookup.m_generations;
  json body;
  body["blocks"] = HexDigests(blocks.subspan(aRequest.m_skip, aImported));
  body["generations"] = json::array();
  for (std::uint32_t i = 0; i < aImported; ++i) {
    body["generations"].push_back(generations.at(aRequest.m_skip + i));
  }
  auto post = PostJson(aRequest.m_storeLookup.m_address, "/kv/confirm", body, kConfirmTimeout);
  aCore.m_http->Fetch(
    std::move(post),
    [&aCore, aRequest, aImport, aDone](const net::ClientOutcome& aOutcome,
                                       const std::string& aBody) {
      const json reply = json::parse(aBody, nullptr, false);
      const bool unchanged =
        aOutcome.m_status == 200 && reply.is_object() && reply.value("same", false);
      if (unchanged) {
        aDone(aImport);
        return;
      }
      aCore.m_metrics.Count("imports_dropped_total");
      telemetry::LogLine("import_dropped")
        .Add("import", aImport)
        .Add("store", aRequest.m_storeLookup.m_store);
      auto drop =
        PostJson(aRequest.m_engine, "/kv/drop", { { "import", aImport } }, kConfirmTimeout);
      aCore.m_http->Fetch(std::move(drop), [](const auto&, const auto&) {});
      aDone(std::nullopt);
    });
}

} // namespace

void LookupStores(GateCore& aCore,
                  const std::vector<base::Digest128>& aBlocks,
                  std::function<void(const StoreLookupResult&)> aDone)
{
  const auto homes = aBlocks.empty() ? std::vector<const wire::EndpointStatus*>{}
                                     : aCore.m_view.HomeStores(aBlocks.front());
  if (homes.empty()) {
    aDone({});
    return;
  }
  auto lookup = std::make_shared<PendingLookup>();
  lookup->m_remaining = homes.size();
  lookup->m_results.resize(homes.size());
  lookup->m_done = std::move(aDone);
  const json body{ { "blocks", HexDigests(aBlocks) } };
  for (std::size_t rank = 0; rank < homes.size(); ++rank) {
    aCore.m_http->Fetch(PostJson(homes[rank]->m_host.m_address, "/kv/lookup", body, kLookupTimeout),
                        [lookup, rank, store = homes[rank]->m_host](
                          const net::ClientOutcome& aOutcome, const std::string& aBody) {
                          lookup->m_results[rank] = ParseLookupReply(store, aOutcome, aBody);
                          if (--lookup->m_remaining == 0) {
                            lookup->m_done(SelectBest(lookup->m_results));
                          }
                        });
  }
}

void ImportBlocks(GateCore& aCore,
                  const ImportRequest& aRequest,
                  std::function<void(std::optional<std::string>)> aDone)
{
  const std::string import = aCore.NextAttemptId();
  const std::span<const base::Digest128> blocks(aRequest.m_blocks);
  const json body{ { "import", import },
                   { "store", "http://" + aRequest.m_storeLookup.m_address },
                   { "skip", aRequest.m_skip },
                   { "blocks", HexDigests(blocks.subspan(aRequest.m_skip, aRequest.m_count)) } };
  aCore.m_http->Fetch(PostJson(aRequest.m_engine, "/kv/import", body, kImportTimeout),
                      [&aCore, aRequest, import, aDone](const net::ClientOutcome& aOutcome,
                                                        const std::string& aBody) {
                        const json reply = json::parse(aBody, nullptr, false);
                        const bool answered = aOutcome.m_status == 200 && reply.is_object();
                        const std::uint32_t imported = answered ? reply.value("imported", 0U) : 0;
                        if (imported == 0 || imported > aRequest.m_count) {
                          aDone(std::nullopt);
                          return;
                        }
                        ConfirmGenerations(aCore, aRequest, import, imported, aDone);
                      });
}

} // namespace ferrytray::gate
