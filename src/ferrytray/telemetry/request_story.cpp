#include "ferrytray/telemetry/request_story.hpp"

#include <algorithm> // for min
#include <utility>   // for move

namespace ferrytray::telemetry {

namespace {

/// What changes a host's beliefs as a whole; lines on single endpoints count only for the
/// request's.
const std::set<std::string, std::less<>>& GeneralEvents()
{
  static const std::set<std::string, std::less<>> events{
    "configuration", "dependency_lost", "dependency_back", "start",
    "stop",          "reload",          "weights_named"
  };
  return events;
}

const std::set<std::string, std::less<>>& EndpointEvents()
{
  static const std::set<std::string, std::less<>> events{
    "endpoint", "endpoint_removed", "endpoint_gone", "engine_state", "weight_order"
  };
  return events;
}

/// Takes one value off the front, quoted or not.
std::string TakeValue(std::string_view& aRest)
{
  if (!aRest.starts_with('"')) {
    const std::size_t end = std::min(aRest.find(' '), aRest.size());
    std::string value(aRest.substr(0, end));
    aRest.remove_prefix(end);
    return value;
  }
  std::string value;
  std::size_t at = 1;
  for (; at < aRest.size() && aRest[at] != '"'; ++at) {
    const bool escaped = aRest[at] == '\\' && at + 1 < aRest.size();
    at += escaped ? 1 : 0;
    value.push_back(aRest[at]);
  }
  aRest.remove_prefix(std::min(at + 1, aRest.size()));
  return value;
}

} // namespace

std::optional<ParsedLine> ParsedLine::Parse(std::string_view aLine)
{
  const std::size_t event = aLine.find("event=");
  if (event == std::string_view::npos) {
    return std::nullopt;
  }
  ParsedLine line;
  line.m_text = std::string(aLine);
  std::string_view rest = aLine.substr(event);
  while (!rest.empty()) {
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    line.m_values.try_emplace(key, rest.empty() ? "" : TakeValue(rest));
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  }
  return line;
}

std::string_view ParsedLine::Value(std::string_view aKey) const
{
  const auto found = m_values.find(aKey);
  return found == m_values.end() ? std::string_view() : std::string_view(found->second);
}

RequestStory::RequestStory(std::string aRequest, StoryOptions aOptions)
  : m_request(std::move(aRequest))
  , m_options(aOptions)
{
}

void RequestStory::Add(const std::string& aLog, std::string_view aLine)
{
  std::optional<ParsedLine> line = ParsedLine::Parse(aLine);
  if (!line) {
    return;
  }
  const bool own = line->Value("request") == m_request;
  const bool mayBeContext = GeneralEvents().contains(line->Value("event")) ||
                            EndpointEvents().contains(line->Value("event"));
  if (!own && !mayBeContext) {
    return;
  }
  Log& log = m_logs[aLog];
  if (own) {
    ++log.m_own;
    if (const std::string_view endpoint = line->Value("endpoint"); !endpoint.empty()) {
      log.m_endpoints.emplace(endpoint);
    }
  }
  log.m_entries.push_back({ std::move(*line), own });
  // Of a long log, only the newest beliefs before the request matter.
  if (log.m_own == 0 && log.m_entries.size() > m_options.m_context) {
    log.m_entries.pop_front();
  }
}

bool RequestStory::IsContext(const ParsedLine& aLine, const Log& aLog)
{
  return GeneralEvents().contains(aLine.Value("event")) ||
         aLog.m_endpoints.contains(aLine.Value("endpoint"));
}

void RequestStory::RenderLog(const std::string& aName, const Log& aLog, std::string& aInto) const
{
  aInto += aName + "\n";
  std::size_t left = aLog.m_own;
  std::deque<const ParsedLine*> before;
  for (const Entry& entry : aLog.m_entries) {
    if (left == 0) {
      break; // what the host learnt later did not decide this
    }
    if (entry.m_own) {
      for (const ParsedLine* line : before) {
        aInto += "    " + line->Text() + "\n";
      }
      before.clear();
      aInto += "  " + entry.m_line.Text() + "\n";
      --left;
    } else if (IsContext(entry.m_line, aLog)) {
      before.push_back(&entry.m_line);
      if (left == aLog.m_own && before.size() > m_options.m_before) {
        before.pop_front();
      }
    }
  }
}

std::string RequestStory::Render() const
{
  std::string story;
  for (const auto& [name, log] : m_logs) {
    if (log.m_own > 0) {
      RenderLog(name, log, story);
    }
  }
  return story;
}

} // namespace ferrytray::telemetry
