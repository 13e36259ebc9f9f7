#include "ferrytray/telemetry/log_summary.hpp"

#include <algorithm> // for min, sort
#include <array>     // for array
#include <charconv>  // for from_chars
#include <utility>   // for move

#include <fmt/format.h> // for format

namespace ferrytray::telemetry {

namespace {

// Names of cache::PartOutcome, repeated here since telemetry must not depend on cache.
constexpr std::array<std::string_view, 6> kFates{ "unshared",   "fetched", "saved",
                                                  "on_its_way", "no_room", "no_contact" };

std::int64_t ParseNumber(const ParsedLine& aLine, std::string_view aKey)
{
  const std::string_view text = aLine.Value(aKey);
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::int64_t Percentile(const std::vector<std::int64_t>& aSorted, std::size_t aPercent)
{
  if (aSorted.empty()) {
    return 0;
  }
  return aSorted[std::min(aSorted.size() - 1, aSorted.size() * aPercent / 100)];
}

std::string FormatCounts(const std::map<std::string, std::uint64_t>& aCounts)
{
  std::string text;
  for (const auto& [name, count] : aCounts) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name, count);
  }
  return text.empty() ? "none" : text;
}

} // namespace

void LogSummary::Add(std::string_view aLine)
{
  const auto line = ParsedLine::Parse(aLine);
  if (!line) {
    return;
  }
  const std::string_view event = line->Value("event");
  if (event == "request") {
    AddRequest(*line);
  } else if (event == "attempt_failed") {
    const std::string end(line->Value("end"));
    ++m_failedSends[end + " " + std::string(line->Value("status"))];
  } else if (event == "own_answer") {
    ++m_ownAnswers[std::string(line->Value("code"))];
  } else if (event == "log_call") {
    ++m_logCalls[std::string(line->Value("call")) + " " + std::string(line->Value("topic"))];
  }
}

void LogSummary::AddRequest(const ParsedLine& aLine)
{
  Route& route = m_routes[std::string(aLine.Value("route"))];
  const std::string outcome(aLine.Value("outcome"));
  ++route.m_outcomes[outcome];
  const bool isPrompt = !aLine.Value("prompt_tokens").empty();
  for (const std::string_view fate : kFates) {
    if (isPrompt) {
      route.m_tokens[std::string(fate)] += static_cast<std::uint64_t>(ParseNumber(aLine, fate));
    }
  }
  const std::int64_t startLatency = ParseNumber(aLine, isPrompt ? "began_ms" : "took_ms");
  if (outcome == "delivered" && startLatency >= 0) {
    route.m_startLatenciesMillis.push_back(startLatency);
    route.m_late += startLatency > ParseNumber(aLine, "target_ms") ? 1 : 0;
  }
}

void LogSummary::RenderRoutes(std::string& aOutput) const
{
  aOutput += fmt::format("{:<16}{:>8}{:>8}{:>8}{:>8}{:>8}  outcomes\n",
                         "route",
                         "ended",
                         "late",
                         "p50 ms",
                         "p95 ms",
                         "p99 ms");
  for (const auto& [name, route] : m_routes) {
    std::vector<std::int64_t> startLatencies = route.m_startLatenciesMillis;
    std::sort(startLatencies.begin(), startLatencies.end());
    std::uint64_t ended = 0;
    for (const auto& [outcome, count] : route.m_outcomes) {
      ended += count;
    }
    constexpr std::size_t kP50 = 50;
    constexpr std::size_t kP95 = 95;
    constexpr std::size_t kP99 = 99;
    aOutput += fmt::format("{:<16}{:>8}{:>8}{:>8}{:>8}{:>8}  {}\n",
                           name,
                           ended,
                           route.m_late,
                           Percentile(startLatencies, kP50),
                           Percentile(startLatencies, kP95),
                           Percentile(startLatencies, kP99),
                           FormatCounts(route.m_outcomes));
  }
}

void LogSummary::RenderTokens(std::string& aOutput) const
{
  aOutput += fmt::format("\n{:<16}", "prompt tokens");
  for (const std::string_view fate : kFates) {
    aOutput += fmt::format("{:>12}", fate);
  }
  aOutput += "\n";
  for (const auto& [name, route] : m_routes) {
    if (route.m_tokens.empty()) {
      continue;
    }
    aOutput += fmt::format("{:<16}", name);
    for (const std::string_view fate : kFates) {
      aOutput += fmt::format("{:>12}", route.m_tokens.at(std::string(fate)));
    }
    aOutput += "\n";
  }
}

std::string LogSummary::Render() const
{
  if (m_routes.empty()) {
    return "";
  }
  std::string text;
  RenderRoutes(text);
  RenderTokens(text);
  text += "\nfailed sends (end, status): " + FormatCounts(m_failedSends) + "\n";
  text += "own answers (code): " + FormatCounts(m_ownAnswers) + "\n";
  text += "calls to the record log (call, topic): " + FormatCounts(m_logCalls) + "\n";
  return text;
}

} // namespace ferrytray::telemetry
