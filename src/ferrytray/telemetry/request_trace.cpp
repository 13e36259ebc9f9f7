#include "ferrytray/telemetry/request_trace.hpp"

#include <algorithm> // for min
#include <utility>   // for move

namespace ferrytray::telemetry {

namespace {

/// Events that change the state of a whole host. Events of single endpoints are context only if
/// the request was sent to that endpoint.
const std::set<std::string, std::less<>>& HostEvents()
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

/// Removes one value, quoted or not, from the front of aRemaining and returns it.
std::string TakeValue(std::string_view& aRemaining)
{
  if (!aRemaining.starts_with('"')) {
    const std::size_t end = std::min(aRemaining.find(' '), aRemaining.size());
    std::string value(aRemaining.substr(0, end));
    aRemaining.remove_prefix(end);
    return value;
  }
  std::string value;
  std::size_t at = 1;
  for (; at < aRemaining.size() && aRemaining[at] != '"'; ++at) {
    const bool escaped = aRemaining[at] == '\\' && at + 1 < aRemaining.size();
    at += escaped ? 1 : 0;
    value.push_back(aRemaining[at]);
  }
  aRemaining.remove_prefix(std::min(at + 1, aRemaining.size()));
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
  std::string_view unparsed = aLine.substr(event);
  while (!unparsed.empty()) {
    const std::size_t equals = unparsed.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string key(unparsed.substr(0, equals));
    unparsed.remove_prefix(equals + 1);
    line.m_values.try_emplace(key, unparsed.empty() ? "" : TakeValue(unparsed));
    unparsed.remove_prefix(std::min(unparsed.find_first_not_of(' '), unparsed.size()));
  }
  return line;
}

std::string_view ParsedLine::Value(std::string_view aKey) const
{
  const auto found = m_values.find(aKey);
  return found == m_values.end() ? std::string_view() : std::string_view(found->second);
}

RequestTrace::RequestTrace(std::string aRequest, RequestTraceOptions aOptions)
  : m_request(std::move(aRequest))
  , m_options(aOptions)
{
}

void RequestTrace::Add(const std::string& aLog, std::string_view aLine)
{
  std::optional<ParsedLine> line = ParsedLine::Parse(aLine);
  if (!line) {
    return;
  }
  const bool namesRequest = line->Value("request") == m_request;
  const bool mayBeContext =
    HostEvents().contains(line->Value("event")) || EndpointEvents().contains(line->Value("event"));
  if (!namesRequest && !mayBeContext) {
    return;
  }
  Log& log = m_logs[aLog];
  if (namesRequest) {
    ++log.m_requestLines;
    if (const std::string_view endpoint = line->Value("endpoint"); !endpoint.empty()) {
      log.m_endpoints.emplace(endpoint);
    }
  }
  log.m_entries.push_back({ std::move(*line), namesRequest });
  // Bounds memory for long logs: only the newest context before the request matters.
  if (log.m_requestLines == 0 && log.m_entries.size() > m_options.m_maxContextLines) {
    log.m_entries.pop_front();
  }
}

bool RequestTrace::IsContext(const ParsedLine& aLine, const Log& aLog)
{
  return HostEvents().contains(aLine.Value("event")) ||
         aLog.m_endpoints.contains(aLine.Value("endpoint"));
}

void RequestTrace::RenderLog(const std::string& aName, const Log& aLog, std::string& aOutput) const
{
  aOutput += aName + "\n";
  std::size_t remaining = aLog.m_requestLines;
  std::deque<const ParsedLine*> pendingContext;
  for (const Entry& entry : aLog.m_entries) {
    if (remaining == 0) {
      break; // context after the request's last line had no effect on it
    }
    if (entry.m_namesRequest) {
      for (const ParsedLine* line : pendingContext) {
        aOutput += "    " + line->Text() + "\n";
      }
      pendingContext.clear();
      aOutput += "  " + entry.m_line.Text() + "\n";
      --remaining;
    } else if (IsContext(entry.m_line, aLog)) {
      pendingContext.push_back(&entry.m_line);
      if (remaining == aLog.m_requestLines &&
          pendingContext.size() > m_options.m_contextLinesBefore) {
        pendingContext.pop_front();
      }
    }
  }
}

std::string RequestTrace::Render() const
{
  std::string trace;
  for (const auto& [name, log] : m_logs) {
    if (log.m_requestLines > 0) {
      RenderLog(name, log, trace);
    }
  }
  return trace;
}

} // namespace ferrytray::telemetry
