#include "ferrytray/gate/exporter.hpp"

#include <algorithm> // for max, min
#include <span>      // for span

#include <nlohmann/json.hpp> // for json

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

using nlohmann::json;

constexpr base::Duration kExportTimeout = std::chrono::seconds(30);
constexpr std::size_t kMaxWaiting = 256;
constexpr std::size_t kChunkBlocks = 16; // about what an import may have to wait behind
constexpr base::Duration kLinkPause = std::chrono::milliseconds(100);

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

void Exporter::Consider(ExportJob aJob)
{
  const bool stored = aJob.m_store.m_view.m_storedBlocks >= aJob.m_blocks.size();
  if (aJob.m_store.m_address.empty() || aJob.m_blocks.empty() || stored) {
    return;
  }
  const routing::ReturnHistogram& gaps = m_core.m_contexts.Gaps(aJob.m_account);
  const routing::RetentionCandidate context{ aJob.m_bytes,
                                             aJob.m_recomputeSeconds,
                                             base::Duration::zero() };
  const bool keep = routing::ShouldExport(context, gaps, aJob.m_store.m_pressure, {});
  const double worth = routing::RetentionValue(context, gaps);
  telemetry::LogLine("keep")
    .Add("request", aJob.m_request)
    .Add("store", aJob.m_store.m_store)
    .Add("blocks", aJob.m_blocks.size())
    .Add("worth", worth * 1e12)
    .Add("export", keep ? "yes" : "no");
  if (keep) {
    Push({ std::move(aJob), worth, 0 });
  }
}

void Exporter::Push(Job aJob)
{
  const std::string store = aJob.m_job.m_store.m_store;
  auto& waiting = m_waiting[store];
  if (waiting.size() < kMaxWaiting) {
    waiting.push_back(std::move(aJob));
    StartNext(store);
  }
}

void Exporter::StartNext(const std::string& aStore)
{
  auto& waiting = m_waiting[aStore];
  if (m_busy[aStore] || waiting.empty()) {
    return;
  }
  m_busy[aStore] = true;
  const Job job = std::move(waiting.front());
  waiting.pop_front();
  AskStore(job);
}

void Exporter::AskStore(const Job& aJob)
{
  // Another gate may have kept it since, and imports may have come to wait.
  LookupStores(
    m_core, aJob.m_job.m_blocks, [this, aJob](const StoreFound& aFound) { OnStore(aJob, aFound); });
}

void Exporter::OnStore(Job aJob, const StoreFound& aFound)
{
  if (aFound.m_store != aJob.m_job.m_store.m_store) {
    Finish(std::move(aJob), false);
    return;
  }
  aJob.m_moved = std::max<std::size_t>(aJob.m_moved, aFound.m_view.m_storedBlocks);
  if (aJob.m_moved >= aJob.m_job.m_blocks.size()) {
    Finish(std::move(aJob), true);
  } else if (aFound.m_pressure.m_importQueue > routing::RetentionOptions{}.m_maxImportQueue) {
    WaitForLink(aJob);
  } else {
    MoveChunk(aJob);
  }
}

void Exporter::WaitForLink(const Job& aJob)
{
  m_core.m_metrics.Count("exports_yielded_total");
  m_pauses[aJob.m_job.m_store.m_store] =
    m_core.m_loop.After(kLinkPause, [this, aJob] { AskStore(aJob); });
}

void Exporter::MoveChunk(const Job& aJob)
{
  const std::string upload = m_core.NextAttempt();
  const std::span<const base::Digest128> blocks(aJob.m_job.m_blocks);
  const std::size_t count = std::min(kChunkBlocks, blocks.size() - aJob.m_moved);
  json names = json::array();
  for (const base::Digest128& block : blocks.subspan(aJob.m_moved, count)) {
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

void Exporter::Commit(const Job& aJob,
                      const std::string& aUpload,
                      const std::string& aManifestReply)
{
  const json reply = json::parse(aManifestReply, nullptr, false);
  // The engine may have evicted the rest since; what was not moved is not kept.
  const bool moved = reply.is_object() && reply.contains("manifest") && !reply["manifest"].empty();
  if (!moved) {
    Finish(aJob, false);
    return;
  }
  const json body{ { "upload", aUpload },
                   { "manifest", reply["manifest"] },
                   { "worth", aJob.m_worth } };
  Job next = aJob;
  next.m_moved += reply["manifest"].size();
  m_core.m_http->Fetch(Post(aJob.m_job.m_store.m_address, "/kv/commit", body),
                       [this, next](const net::ClientOutcome& aOutcome, const std::string&) {
                         const bool more = next.m_moved < next.m_job.m_blocks.size();
                         if (aOutcome.m_status == 200 && more) {
                           AskStore(next);
                         } else {
                           Finish(next, aOutcome.m_status == 200);
                         }
                       });
}

void Exporter::Finish(Job aJob, bool aKept)
{
  const ExportJob& job = aJob.m_job;
  telemetry::LogLine("kept")
    .Add("request", job.m_request)
    .Add("store", job.m_store.m_store)
    .Add("blocks", aJob.m_moved)
    .Add("ok", aKept ? "yes" : "no");
  m_core.m_metrics.Count(aKept ? "exports_total{result=\"kept\"}"
                               : "exports_total{result=\"failed\"}");
  if (aKept) {
    m_core.m_metrics.Count("export_link_bytes_total", job.m_bytes);
  }
  m_busy[job.m_store.m_store] = false;
  StartNext(job.m_store.m_store);
}

} // namespace ferrytray::gate
