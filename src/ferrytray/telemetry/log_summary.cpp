#include "ferrytray/telemetry/log_summary.hpp"

#include <algorithm> // for min, sort
#include <array>     // for array
#include <charconv>  // for from_chars
#include <utility>   // for move

#include <fmt/format.h> // for format

namespace ferrytray::telemetry {

namespace {

// As cache::PartOutcome has them; telemetry knows no other module.
constexpr std::array<std::string_view, 6> kFates{ "unshared",   "fetched", "saved",
                                                  "on_its_way", "no_room", "no_contact" };

std::int64_t NumberOf(const ParsedLine& aLine, std::string_view aKey)
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

std::string Counts(const std::map<std::string, std::uint64_t>& aCounts)
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
      route.m_tokens[std::string(fate)] += static_cast<std::uint64_t>(NumberOf(aLine, fate));
    }
  }
  const std::int64_t began = NumberOf(aLine, isPrompt ? "began_ms" : "took_ms");
  if (outcome == "delivered" && began >= 0) {
    route.m_beganMillis.push_back(began);
    route.m_late += began > NumberOf(aLine, "target_ms") ? 1 : 0;
  }
}

void LogSummary::RenderRoutes(std::string& aInto) const
{
  aInto += fmt::format("{:<16}{:>8}{:>8}{:>8}{:>8}{:>8}  outcomes\n",
                       "route",
                       "ended",
                       "late",
                       "p50 ms",
                       "p95 ms",
                       "p99 ms");
  for (const auto& [name, route] : m_routes) {
    std::vector<std::int64_t> began = route.m_beganMillis;
    std::sort(began.begin(), began.end());
    std::uint64_t ended = 0;
    for (const auto& [outcome, count] : route.m_outcomes) {
      ended += count;
    }
    constexpr std::size_t kMedian = 50;
    constexpr std::size_t kMost = 95;
    constexpr std::size_t kNearlyAll = 99;
    aInto += fmt::format("{:<16}{:>8}{:>8}{:>8}{:>8}{:>8}  {}\n",
                         name,
                         ended,
                         route.m_late,
                         Percentile(began, kMedian),
                         Percentile(began, kMost),
                         Percentile(began, kNearlyAll),
                         Counts(route.m_outcomes));
  }
}

void LogSummary::RenderTokens(std::string& aInto) const
{
  aInto += fmt::format("\n{:<16}", "prompt tokens");
  for (const std::string_view fate : kFates) {
    aInto += fmt::format("{:>12}", fate);
  }
  aInto += "\n";
  for (const auto& [name, route] : m_routes) {
    if (route.m_tokens.empty()) {
      continue;
    }
    aInto += fmt::format("{:<16}", name);
    for (const std::string_view fate : kFates) {
      aInto += fmt::format("{:>12}", route.m_tokens.at(std::string(fate)));
    }
    aInto += "\n";
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
  text += "\nfailed sends (end, status): " + Counts(m_failedSends) + "\n";
  text += "own answers (code): " + Counts(m_ownAnswers) + "\n";
  text += "calls to the record log (call, topic): " + Counts(m_logCalls) + "\n";
  return text;
}

} // namespace ferrytray::telemetry
