#include "ferrytray/gate/exporter.hpp"

#include <algorithm> // for max, min
#include <span>      // for span

#include <nlohmann/json.hpp> // for json

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

using nlohmann::json;

constexpr base::Duration kExportTimeout = std::chrono::seconds(30);
constexpr std::size_t kMaxQueuedExports = 256;
constexpr std::size_t kBlocksPerChunk = 16; // bounds how long an import waits behind an export
constexpr base::Duration kLinkRetryDelay = std::chrono::milliseconds(100);

net::ClientRequest Post(const std::string& aAddress, const std::string& aPath, const json& aBody)
{
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + aAddress + aPath;
  request.m_body = aBody.dump();
  request.m_timeout = kExportTimeout;
  return request;
}

} // namespace

void ContextExporter::ExportIfWorthwhile(ExportJob aJob)
{
  const bool stored = aJob.m_store.m_view.m_storedBlocks >= aJob.m_blocks.size();
  if (aJob.m_store.m_address.empty() || aJob.m_blocks.empty() || stored) {
    return;
  }
  const routing::ReturnHistogram& gaps = m_core.m_contexts.Gaps(aJob.m_account);
  const routing::RetentionCandidate context{ aJob.m_bytes,
                                             aJob.m_recomputeSeconds,
                                             base::Duration::zero() };
  const bool worthStoring = routing::ShouldExport(context, gaps, aJob.m_store.m_pressure, {});
  const double value = routing::RetentionValue(context, gaps);
  telemetry::LogLine("keep")
    .Add("request", aJob.m_request)
    .Add("store", aJob.m_store.m_store)
    .Add("blocks", aJob.m_blocks.size())
    .Add("worth", value * 1e12)
    .Add("export", worthStoring ? "yes" : "no");
  if (worthStoring) {
    Enqueue({ std::move(aJob), value, 0 });
  }
}

void ContextExporter::Enqueue(PendingExport aJob)
{
  const std::string store = aJob.m_job.m_store.m_store;
  auto& queued = m_queued[store];
  if (queued.size() < kMaxQueuedExports) {
    queued.push_back(std::move(aJob));
    StartNext(store);
  }
}

void ContextExporter::StartNext(const std::string& aStore)
{
  auto& queued = m_queued[aStore];
  if (m_busy[aStore] || queued.empty()) {
    return;
  }
  m_busy[aStore] = true;
  const PendingExport job = std::move(queued.front());
  queued.pop_front();
  CheckStore(job);
}

void ContextExporter::CheckStore(const PendingExport& aJob)
{
  // Another gate may have stored the blocks since, and imports may be queued.
  LookupStores(m_core, aJob.m_job.m_blocks, [this, aJob](const StoreLookupResult& aLookup) {
    OnStoreChecked(aJob, aLookup);
  });
}

void ContextExporter::OnStoreChecked(PendingExport aJob, const StoreLookupResult& aLookup)
{
  if (aLookup.m_store != aJob.m_job.m_store.m_store) {
    Finish(std::move(aJob), false);
    return;
  }
  aJob.m_exportedBlocks =
    std::max<std::size_t>(aJob.m_exportedBlocks, aLookup.m_view.m_storedBlocks);
  if (aJob.m_exportedBlocks >= aJob.m_job.m_blocks.size()) {
    Finish(std::move(aJob), true);
  } else if (aLookup.m_pressure.m_importQueue > routing::RetentionOptions{}.m_maxImportQueue) {
    WaitForLink(aJob);
  } else {
    ExportChunk(aJob);
  }
}

void ContextExporter::WaitForLink(const PendingExport& aJob)
{
  m_core.m_metrics.Count("exports_yielded_total");
  m_retryTimers[aJob.m_job.m_store.m_store] =
    m_core.m_loop.After(kLinkRetryDelay, [this, aJob] { CheckStore(aJob); });
}

void ContextExporter::ExportChunk(const PendingExport& aJob)
{
  const std::string upload = m_core.NextAttemptId();
  const std::span<const base::Digest128> blocks(aJob.m_job.m_blocks);
  const std::size_t count = std::min(kBlocksPerChunk, blocks.size() - aJob.m_exportedBlocks);
  json names = json::array();
  for (const base::Digest128& block : blocks.subspan(aJob.m_exportedBlocks, count)) {
    names.push_back(base::ToHex(block));
  }
  const json body{ { "upload", upload },
                   { "store", "http://" + aJob.m_job.m_store.m_address },
                   { "blocks", names } };
  m_core.m_http->Fetch(
    Post(aJob.m_job.m_engine, "/kv/export", body),
    [this, aJob, upload](const net::ClientOutcome& aOutcome, const std::string& aBody) {
      if (aOutcome.m_status != 200) {
        Finish(aJob, false);
        return;
      }
      Commit(aJob, upload, aBody);
    });
}

void ContextExporter::Commit(const PendingExport& aJob,
                             const std::string& aUpload,
                             const std::string& aManifestReply)
{
  const json reply = json::parse(aManifestReply, nullptr, false);
  // The engine may have evicted the remaining blocks; they cannot be stored.
  const bool exported =
    reply.is_object() && reply.contains("manifest") && !reply["manifest"].empty();
  if (!exported) {
    Finish(aJob, false);
    return;
  }
  const json body{ { "upload", aUpload },
                   { "manifest", reply["manifest"] },
                   { "worth", aJob.m_value } };
  PendingExport next = aJob;
  next.m_exportedBlocks += reply["manifest"].size();
  m_core.m_http->Fetch(Post(aJob.m_job.m_store.m_address, "/kv/commit", body),
                       [this, next](const net::ClientOutcome& aOutcome, const std::string&) {
                         const bool more = next.m_exportedBlocks < next.m_job.m_blocks.size();
                         if (aOutcome.m_status == 200 && more) {
                           CheckStore(next);
                         } else {
                           Finish(next, aOutcome.m_status == 200);
                         }
                       });
}

void ContextExporter::Finish(PendingExport aJob, bool aExported)
{
  const ExportJob& job = aJob.m_job;
  telemetry::LogLine("kept")
    .Add("request", job.m_request)
    .Add("store", job.m_store.m_store)
    .Add("blocks", aJob.m_exportedBlocks)
    .Add("ok", aExported ? "yes" : "no");
  m_core.m_metrics.Count(aExported ? "exports_total{result=\"kept\"}"
                                   : "exports_total{result=\"failed\"}");
  if (aExported) {
    m_core.m_metrics.Count("export_link_bytes_total", job.m_bytes);
  }
  m_busy[job.m_store.m_store] = false;
  StartNext(job.m_store.m_store);
}

} // namespace ferrytray::gate
