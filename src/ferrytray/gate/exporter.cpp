#include "ferrytray/gate/exporter.hpp"

#include <nlohmann/json.hpp> // for json

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

using nlohmann::json;

constexpr base::Duration kExportTimeout = std::chrono::seconds(30);
constexpr std::size_t kMaxWaiting = 256;

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
  const routing::ReturnGaps& gaps = m_core.m_contexts.Gaps(aJob.m_account);
  const routing::KeepCandidate context{ aJob.m_bytes,
                                        aJob.m_recomputeSeconds,
                                        base::Duration::zero() };
  const bool keep = routing::ShouldExport(context, gaps, aJob.m_store.m_pressure, {});
  const double worth = routing::KeepValue(context, gaps);
  telemetry::LogLine("keep")
    .Add("request", aJob.m_request)
    .Add("store", aJob.m_store.m_store)
    .Add("blocks", aJob.m_blocks.size())
    .Add("worth", worth * 1e12)
    .Add("export", keep ? "yes" : "no");
  const std::string store = aJob.m_store.m_store;
  auto& waiting = m_waiting[store];
  if (!keep || waiting.size() >= kMaxWaiting) {
    return;
  }
  waiting.push_back({ std::move(aJob), worth });
  StartNext(store);
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
  const std::string upload = m_core.NextAttempt();
  json names = json::array();
  for (const base::Digest128& block : job.m_job.m_blocks) {
    names.push_back(base::ToHex(block));
  }
  const json body{ { "upload", upload },
                   { "store", "http://" + job.m_job.m_store.m_address },
                   { "blocks", names } };
  m_core.m_http->Fetch(
    Post(job.m_job.m_engine, "/kv/export", body),
    [this, job, upload](const net::ClientOutcome& aOutcome, const std::string& aBody) {
      if (aOutcome.m_status != 200) {
        Finish(job, false);
        return;
      }
      Commit(job, upload, aBody);
    });
}

void Exporter::Commit(const Job& aJob,
                      const std::string& aUpload,
                      const std::string& aManifestReply)
{
  const json reply = json::parse(aManifestReply, nullptr, false);
  if (!reply.is_object() || !reply.contains("manifest")) {
    Finish(aJob, false);
    return;
  }
  const json body{ { "upload", aUpload },
                   { "manifest", reply["manifest"] },
                   { "worth", aJob.m_worth } };
  m_core.m_http->Fetch(Post(aJob.m_job.m_store.m_address, "/kv/commit", body),
                       [this, aJob](const net::ClientOutcome& aOutcome, const std::string&) {
                         Finish(aJob, aOutcome.m_status == 200);
                       });
}

void Exporter::Finish(const Job& aJob, bool aKept)
{
  telemetry::LogLine("kept")
    .Add("request", aJob.m_job.m_request)
    .Add("store", aJob.m_job.m_store.m_store)
    .Add("ok", aKept ? "yes" : "no");
  m_core.m_metrics.Count(aKept ? "exports_total{result=\"kept\"}"
                               : "exports_total{result=\"failed\"}");
  if (aKept) {
    m_core.m_metrics.Count("export_link_bytes_total", aJob.m_job.m_bytes);
  }
  m_busy[aJob.m_job.m_store.m_store] = false;
  StartNext(aJob.m_job.m_store.m_store);
}

} // namespace ferrytray::gate
