#include "ferrytray/gate/engine_event_parser.hpp"

#include <nlohmann/json.hpp> // for json

namespace ferrytray::gate {

namespace {

using nlohmann::json;

constexpr std::string_view kEventSeparator = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";

TokenUsage ParseUsage(const json& aObject)
{
  TokenUsage usage;
  usage.m_prompt = aObject.value("prompt_tokens", 0U);
  usage.m_completion = aObject.value("completion_tokens", 0U);
  usage.m_cached = aObject.value("x_cached_tokens", 0U);
  usage.m_restored = aObject.value("x_restored_tokens", 0U);
  usage.m_recomputed = aObject.value("x_recomputed_tokens", 0U);
  return usage;
}

EngineError EngineErrorFromJson(const json& aObject)
{
  // An error counts as started unless it states explicitly that nothing was started.
  EngineError error{ "unreadable error response", true };
  if (aObject.is_object() && aObject.contains("error") && aObject["error"].is_object()) {
    error.m_message = aObject["error"].value("message", "");
    error.m_started = aObject.value("x_started", true);
  }
  return error;
}

EngineEvent EventFromJson(const json& aObject)
{
  if (aObject.contains("error")) {
    return EngineErrorFromJson(aObject);
  }
  EngineChunk chunk;
  const json& choice = aObject.at("choices").at(0);
  chunk.m_text = choice.at("text").get<std::string>();
  chunk.m_offset = aObject.at("x_offset").get<std::uint64_t>();
  chunk.m_version = aObject.at("x_version").get<std::string>();
  chunk.m_last = !choice.at("finish_reason").is_null();
  if (aObject.contains("usage")) {
    chunk.m_usage = ParseUsage(aObject["usage"]);
  }
  return chunk;
}

} // namespace

std::vector<EngineEvent> EngineEventParser::Feed(std::string_view aBytes)
{
  m_buffer.append(aBytes);
  std::vector<EngineEvent> events;
  std::size_t start = 0;
  for (std::size_t end = m_buffer.find(kEventSeparator); end != std::string::npos;
       end = m_buffer.find(kEventSeparator, start)) {
    const std::string_view line = std::string_view(m_buffer).substr(start, end - start);
    start = end + kEventSeparator.size();
    if (line.substr(0, kDataPrefix.size()) != kDataPrefix ||
        line.substr(kDataPrefix.size()) == "[DONE]") {
      continue;
    }
    try {
      events.push_back(EventFromJson(json::parse(line.substr(kDataPrefix.size()))));
    } catch (const json::exception&) {
      ++m_malformedEvents;
    }
  }
  m_buffer.erase(0, start);
  return events;
}

EngineError ParseEngineError(const std::string& aBody)
{
  try {
    return EngineErrorFromJson(json::parse(aBody));
  } catch (const json::exception&) {
    return { "unreadable error response", true };
  }
}

} // namespace ferrytray::gate
