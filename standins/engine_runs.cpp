// Runs completions: prefills one at a time, decodes all running streams as a batch.
#include "standins/engine.hpp"

#include <algorithm> // for max, min

#include "standins/engine_text.hpp" // for Hash, ToServerSentEvent

namespace standins {

using namespace ferrytray;

namespace {

constexpr std::uint32_t kBytesPerToken = 4;
constexpr std::size_t kMaxRetainedRuns = 2000;
constexpr std::uint32_t kDefaultMaxTokens = 16;

json CompletionChunk(const std::string& aText,
                     std::size_t aOffset,
                     const std::string& aVersion,
                     const std::string& aAttempt)
{
  return { { "object", "text_completion" },
           { "choices", { { { "index", 0 }, { "text", aText }, { "finish_reason", nullptr } } } },
           { "x_offset", aOffset },
           { "x_version", aVersion },
           { "x_attempt", aAttempt } };
}

} // namespace

void Engine::OnCompletion(const Request& aRequest, const ReplyPtr& aReply)
{
  const json body = ParseBody(aRequest.m_body);
  if (!body.is_object() || !body.contains("prompt") || !body["prompt"].is_string()) {
    SendError(aReply, 400, "prompt is missing", false);
    return;
  }
  const std::size_t blocks = body.contains("x_blocks") ? body["x_blocks"].size() : 0;
  if (blocks * m_options.m_blockBytes > body["prompt"].get_ref<const std::string&>().size()) {
    SendError(aReply, 400, "more blocks than the prompt has", false);
    return;
  }
  if (!m_retryAfter.empty()) {
    ++m_refusals;
    SendRefusal(aReply, m_retryAfter);
    return;
  }
  const std::string rejection = RejectionReason(body);
  if (!rejection.empty()) {
    SendError(
      aReply, rejection == "leaving" ? 503 : 409, rejection, rejection == "attempt is known");
    return;
  }
  const RunPtr run = MakeRun(body);
  m_runs[run->m_attempt] = run;
  m_retainedRuns.push_back(run->m_attempt);
  while (m_retainedRuns.size() > kMaxRetainedRuns) {
    m_runs.erase(m_retainedRuns.front());
    m_retainedRuns.pop_front();
  }
  m_prefillQueue.emplace(std::pair(run->m_priority, run->m_sequence), run);
  AddReader(run, aReply, 0);
  StartNextPrefill();
}

Engine::RunPtr Engine::MakeRun(const json& aBody)
{
  auto run = std::make_shared<Run>();
  run->m_sequence = ++m_sequence;
  run->m_attempt = aBody.value("x_attempt", "direct-" + std::to_string(run->m_sequence));
  run->m_request = aBody.value("x_request", run->m_attempt);
  run->m_salt = aBody.value("cache_salt", "");
  run->m_prompt = aBody.at("prompt").get<std::string>();
  run->m_version = m_answerVersion.empty() ? m_options.m_version : m_answerVersion;
  run->m_priority = aBody.value("priority", std::uint64_t{ 0 });
  run->m_tokensLeft = std::max(1U, aBody.value("max_tokens", kDefaultMaxTokens));
  run->m_promptTokens = static_cast<std::uint32_t>(run->m_prompt.size() / kBytesPerToken);
  run->m_blocks = aBody.value("x_blocks", std::vector<std::string>{});
  const auto import = m_imports.find(aBody.value("x_import", ""));
  if (import != m_imports.end()) {
    run->m_importedBlocks = import->second.m_values;
    run->m_importSkip = import->second.m_skip;
    m_imports.erase(import);
  }
  return run;
}

void Engine::OnStream(const Request& aRequest, const ReplyPtr& aReply)
{
  const std::string attempt = aRequest.m_path.substr(std::string("/v1/streams/").size());
  const auto found = m_runs.find(attempt);
  if (found == m_runs.end()) {
    SendError(aReply, 404, "no such stream", false);
    return;
  }
  const RunPtr run = found->second;
  if (aRequest.m_method == "DELETE") {
    run->m_cancelled = true;
    const bool queued = m_prefillQueue.erase({ run->m_priority, run->m_sequence }) > 0;
    std::erase(m_decoding, run);
    for (const ReplyPtr& reader : run->m_readers) {
      reader->Finish();
    }
    run->m_readers.clear();
    SendJson(aReply, 200, { { "cancelled", true }, { "x_started", !queued } });
    return;
  }
  const std::string offset = aRequest.QueryValue("offset");
  AddReader(run, aReply, offset.empty() ? 0 : std::stoull(offset));
}

void Engine::AddReader(const RunPtr& aRun, const ReplyPtr& aReply, std::size_t aOffset)
{
  aReply->StartStream(
    200, { { "Content-Type", "text/event-stream" }, { "X-Attempt", aRun->m_attempt } });
  if (aOffset < aRun->m_text.size()) {
    aReply->Write(ToServerSentEvent(
      CompletionChunk(aRun->m_text.substr(aOffset), aOffset, aRun->m_version, aRun->m_attempt)));
  }
  aRun->m_readers.push_back(aReply);
  if (aRun->m_finished) {
    Finish(aRun);
  }
}

void Engine::StartNextPrefill()
{
  const bool full = m_decoding.size() >= m_options.m_maxBatch;
  if (m_prefilling || m_prefillQueue.empty() || full) {
    return;
  }
  const RunPtr run = m_prefillQueue.begin()->second;
  m_prefillQueue.erase(m_prefillQueue.begin());
  m_prefilling = run;
  ++m_executions[run->m_request];
  // Copies the reused blocks, so that an eviction during the prefill does not affect the run.
  for (const std::string& block : run->m_blocks) {
    const std::string value = m_cache.Get(block);
    if (value.empty()) {
      break;
    }
    run->m_reusedBlocks.push_back(value);
  }
  const std::size_t cached = run->m_reusedBlocks.size();
  run->m_cachedTokens = static_cast<std::uint32_t>(cached) * m_options.m_blockTokens;
  // Imported blocks are usable only if all blocks before them are cached.
  const std::size_t importEnd = run->m_importSkip + run->m_importedBlocks.size();
  if (run->m_importSkip <= cached && importEnd > cached) {
    const auto from = static_cast<std::ptrdiff_t>(cached - run->m_importSkip);
    run->m_reusedBlocks.insert(
      run->m_reusedBlocks.end(), run->m_importedBlocks.begin() + from, run->m_importedBlocks.end());
    run->m_restoredTokens =
      static_cast<std::uint32_t>(importEnd - cached) * m_options.m_blockTokens;
  }
  const std::uint32_t reusedTokens =
    std::min(run->m_cachedTokens + run->m_restoredTokens, run->m_promptTokens);
  const double seconds =
    (run->m_promptTokens - reusedTokens) / m_options.m_tokensPerSecond * m_slowness;
  m_prefillTimer = m_loop.After(base::FromSeconds(seconds), [this, run] { FinishPrefill(run); });
}

std::vector<std::string> Engine::ComputeBlocks(const Run& aRun) const
{
  std::vector<std::string> values;
  std::string previous = Hash(aRun.m_salt, m_options.m_model + "\n" + aRun.m_version);
  for (std::size_t i = 0; i < aRun.m_blocks.size(); ++i) {
    previous =
      Hash(previous, aRun.m_prompt.substr(i * m_options.m_blockBytes, m_options.m_blockBytes));
    values.push_back(previous);
  }
  return values;
}

void Engine::FinishPrefill(const RunPtr& aRun)
{
  m_prefilling = nullptr;
  std::vector<std::string> values = ComputeBlocks(*aRun);
  // Reused blocks are not verified, as in a real engine: wrong content gives wrong text.
  std::string digest;
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (i < aRun->m_reusedBlocks.size()) {
      values[i] = aRun->m_reusedBlocks[i];
    }
    m_cache.Put(aRun->m_blocks[i], values[i]);
    digest = Hash(digest, values[i]);
  }
  digest = Hash(digest, aRun->m_prompt);
  aRun->m_seed = Hash(digest, aRun->m_salt + "\n" + m_options.m_model + "\n" + aRun->m_version);
  if (!aRun->m_cancelled) {
    m_decoding.push_back(aRun);
    Emit(aRun, Hash(aRun->m_seed, "0").substr(0, kBytesPerToken - 1) + " ");
  }
  StartNextPrefill();
}

void Engine::Emit(const RunPtr& aRun, const std::string& aText)
{
  const std::size_t offset = aRun->m_text.size();
  aRun->m_text += aText;
  ++aRun->m_tokensEmitted;
  --aRun->m_tokensLeft;
  const std::string event =
    ToServerSentEvent(CompletionChunk(aText, offset, aRun->m_version, aRun->m_attempt));
  for (const ReplyPtr& reader : aRun->m_readers) {
    reader->Write(event);
  }
  if (aRun->m_tokensLeft == 0) {
    std::erase(m_decoding, aRun);
    Finish(aRun);
    StartNextPrefill();
  }
}

void Engine::DecodeStep()
{
  const std::vector<RunPtr> batch = m_decoding;
  for (const RunPtr& run : batch) {
    Emit(run,
         Hash(run->m_seed, std::to_string(run->m_tokensEmitted)).substr(0, kBytesPerToken - 1) +
           " ");
  }
}

void Engine::Finish(const RunPtr& aRun)
{
  aRun->m_finished = true;
  json last = CompletionChunk("", aRun->m_text.size(), aRun->m_version, aRun->m_attempt);
  last["choices"][0]["finish_reason"] = "length";
  const std::uint32_t reusedTokens =
    std::min(aRun->m_cachedTokens + aRun->m_restoredTokens, aRun->m_promptTokens);
  last["usage"] = { { "prompt_tokens", aRun->m_promptTokens },
                    { "completion_tokens", aRun->m_tokensEmitted },
                    { "total_tokens", aRun->m_promptTokens + aRun->m_tokensEmitted },
                    { "x_cached_tokens", std::min(aRun->m_cachedTokens, aRun->m_promptTokens) },
                    { "x_restored_tokens", aRun->m_restoredTokens },
                    { "x_recomputed_tokens", aRun->m_promptTokens - reusedTokens } };
  for (const ReplyPtr& reader : aRun->m_readers) {
    reader->Write(ToServerSentEvent(last) + "data: [DONE]\n\n");
    reader->Finish();
  }
  aRun->m_readers.clear();
}

} // namespace standins
