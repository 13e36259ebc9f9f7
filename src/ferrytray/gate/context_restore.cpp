#include "ferrytray/gate/context_restore.hpp"

#include <nlohmann/json.hpp> // for json

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

using nlohmann::json;

constexpr base::Duration kLookupTimeout = std::chrono::milliseconds(200);
constexpr base::Duration kConfirmTimeout = std::chrono::milliseconds(500);
constexpr base::Duration kImportTimeout = std::chrono::seconds(20);
constexpr base::Duration kImportRoundTrips = std::chrono::milliseconds(2);
constexpr double kMillisPerSecond = 1000;

std::vector<std::string> HexNames(std::span<const base::Digest128> aBlocks)
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

StoreFound ReadFound(const wire::ListedHost& aStore,
                     const net::ClientOutcome& aOutcome,
                     const std::string& aBody)
{
  StoreFound found;
  if (aOutcome.m_status != 200) {
    return found;
  }
  try {
    const json reply = json::parse(aBody);
    found.m_generations = reply.at("generations").get<std::vector<std::uint64_t>>();
    found.m_view.m_storedBlocks = static_cast<std::uint32_t>(found.m_generations.size());
    found.m_view.m_linkQueue =
      base::FromSeconds(reply.at("link_queue_ms").get<double>() / kMillisPerSecond);
    found.m_view.m_bytesPerSecond = std::max(1.0, reply.at("bytes_per_second").get<double>());
    found.m_view.m_roundTrip = kImportRoundTrips;
    found.m_pressure.m_freeBytes = reply.at("free_bytes").get<double>();
    found.m_pressure.m_lowestValue = reply.at("lowest_worth").get<double>();
    found.m_pressure.m_importQueue = found.m_view.m_linkQueue;
    found.m_store = aStore.m_name;
    found.m_address = aStore.m_address;
  } catch (const json::exception& error) {
    telemetry::LogLine("store_unreadable").Add("store", aStore.m_name).Add("why", error.what());
    return {};
  }
  return found;
}

/// Waits for every store asked.
struct Lookup
{
  std::size_t m_left = 0;
  std::vector<StoreFound> m_found; ///< in the order of the context's homes
  std::function<void(const StoreFound&)> m_done;
};

/// The one that has most; among equals the first home, so that all gates pick the same.
const StoreFound& BestOf(const std::vector<StoreFound>& aFound)
{
  const StoreFound* best = &aFound.front();
  for (const StoreFound& found : aFound) {
    const bool better =
      best->m_address.empty() || found.m_view.m_storedBlocks > best->m_view.m_storedBlocks;
    if (!found.m_address.empty() && better) {
      best = &found;
    }
  }
  return *best;
}

void Confirm(GateCore& aCore,
             const ImportRequest& aRequest,
             const std::string& aImport,
             std::uint32_t aImported,
             std::function<void(std::optional<std::string>)> aDone)
{
  const std::span<const base::Digest128> blocks(aRequest.m_blocks);
  const auto& generations = aRequest.m_found.m_generations;
  json body;
  body["blocks"] = HexNames(blocks.subspan(aRequest.m_skip, aImported));
  body["generations"] = json::array();
  for (std::uint32_t i = 0; i < aImported; ++i) {
    body["generations"].push_back(generations.at(aRequest.m_skip + i));
  }
  auto post = PostJson(aRequest.m_found.m_address, "/kv/confirm", body, kConfirmTimeout);
  aCore.m_http->Fetch(
    std::move(post),
    [&aCore, aRequest, aImport, aDone](const net::ClientOutcome& aOutcome,
                                       const std::string& aBody) {
      const json reply = json::parse(aBody, nullptr, false);
      const bool same = aOutcome.m_status == 200 && reply.is_object() && reply.value("same", false);
      if (same) {
        aDone(aImport);
        return;
      }
      aCore.m_metrics.Count("imports_dropped_total");
      telemetry::LogLine("import_dropped")
        .Add("import", aImport)
        .Add("store", aRequest.m_found.m_store);
      auto drop =
        PostJson(aRequest.m_engine, "/kv/drop", { { "import", aImport } }, kConfirmTimeout);
      aCore.m_http->Fetch(std::move(drop), [](const auto&, const auto&) {});
      aDone(std::nullopt);
    });
}

} // namespace

void LookupStores(GateCore& aCore,
                  const std::vector<base::Digest128>& aBlocks,
                  std::function<void(const StoreFound&)> aDone)
{
  const auto homes = aBlocks.empty() ? std::vector<const wire::EndpointStatus*>{}
                                     : aCore.m_view.HomeStores(aBlocks.front());
  if (homes.empty()) {
    aDone({});
    return;
  }
  auto lookup = std::make_shared<Lookup>();
  lookup->m_left = homes.size();
  lookup->m_found.resize(homes.size());
  lookup->m_done = std::move(aDone);
  const json body{ { "blocks", HexNames(aBlocks) } };
  for (std::size_t rank = 0; rank < homes.size(); ++rank) {
    aCore.m_http->Fetch(PostJson(homes[rank]->m_host.m_address, "/kv/lookup", body, kLookupTimeout),
                        [lookup, rank, store = homes[rank]->m_host](
                          const net::ClientOutcome& aOutcome, const std::string& aBody) {
                          lookup->m_found[rank] = ReadFound(store, aOutcome, aBody);
                          if (--lookup->m_left == 0) {
                            lookup->m_done(BestOf(lookup->m_found));
                          }
                        });
  }
}

void ImportBlocks(GateCore& aCore,
                  const ImportRequest& aRequest,
                  std::function<void(std::optional<std::string>)> aDone)
{
  const std::string import = aCore.NextAttempt();
  const std::span<const base::Digest128> blocks(aRequest.m_blocks);
  const json body{ { "import", import },
                   { "store", "http://" + aRequest.m_found.m_address },
                   { "skip", aRequest.m_skip },
                   { "blocks", HexNames(blocks.subspan(aRequest.m_skip, aRequest.m_count)) } };
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
                        Confirm(aCore, aRequest, import, imported, aDone);
                      });
}

} // namespace ferrytray::gate
