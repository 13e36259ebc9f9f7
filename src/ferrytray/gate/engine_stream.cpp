#include "ferrytray/gate/engine_stream.hpp"

#include <nlohmann/json.hpp> // for json

namespace ferrytray::gate {

namespace {

using nlohmann::json;

constexpr std::string_view kSeparator = "\n\n";
constexpr std::string_view kData = "data: ";

Usage ReadUsage(const json& aObject)
{
  Usage usage;
  usage.m_prompt = aObject.value("prompt_tokens", 0U);
  usage.m_completion = aObject.value("completion_tokens", 0U);
  usage.m_cached = aObject.value("x_cached_tokens", 0U);
  usage.m_restored = aObject.value("x_restored_tokens", 0U);
  usage.m_recomputed = aObject.value("x_recomputed_tokens", 0U);
  return usage;
}

EngineRefusal RefusalFrom(const json& aObject)
{
  // Anything that does not say clearly that nothing was started counts as started.
  EngineRefusal refusal{ "unreadable refusal", true };
  if (aObject.is_object() && aObject.contains("error") && aObject["error"].is_object()) {
    refusal.m_message = aObject["error"].value("message", "");
    refusal.m_started = aObject.value("x_started", true);
  }
  return refusal;
}

EngineEvent EventFrom(const json& aObject)
{
  if (aObject.contains("error")) {
    return RefusalFrom(aObject);
  }
  EnginePiece piece;
  const json& choice = aObject.at("choices").at(0);
  piece.m_text = choice.at("text").get<std::string>();
  piece.m_offset = aObject.at("x_offset").get<std::uint64_t>();
  piece.m_version = aObject.at("x_version").get<std::string>();
  piece.m_last = !choice.at("finish_reason").is_null();
  if (aObject.contains("usage")) {
    piece.m_usage = ReadUsage(aObject["usage"]);
  }
  return piece;
}

} // namespace

std::vector<EngineEvent> EngineStream::Feed(std::string_view aBytes)
{
  m_rest.append(aBytes);
  std::vector<EngineEvent> events;
  std::size_t start = 0;
  for (std::size_t end = m_rest.find(kSeparator); end != std::string::npos;
       end = m_rest.find(kSeparator, start)) {
    const std::string_view line = std::string_view(m_rest).substr(start, end - start);
    start = end + kSeparator.size();
    if (line.substr(0, kData.size()) != kData || line.substr(kData.size()) == "[DONE]") {
      continue;
    }
    try {
      events.push_back(EventFrom(json::parse(line.substr(kData.size()))));
    } catch (const json::exception&) {
      ++m_malformed;
    }
  }
  m_rest.erase(0, start);
  return events;
}

EngineRefusal ReadRefusal(const std::string& aBody)
{
  try {
    return RefusalFrom(json::parse(aBody));
  } catch (const json::exception&) {
    return { "unreadable refusal", true };
  }
}

} // namespace ferrytray::gate
