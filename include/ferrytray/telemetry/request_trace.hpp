#pragma once

#include <deque>       // for deque
#include <map>         // for map
#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

namespace ferrytray::telemetry {

/// @brief A parsed log line of key=value pairs.
class ParsedLine
{
public:
  /// @brief Parses the output of LogLine. Any text before "event=", such as the time and host added
  /// by a log collector, is kept in Text(). @return empty if there is no event
  static std::optional<ParsedLine> Parse(std::string_view aLine);
  /// @brief Returns the value of a key; empty if the line has no such key.
  [[nodiscard]] std::string_view Value(std::string_view aKey) const;
  [[nodiscard]] const std::string& Text() const { return m_text; }

private:
  std::string m_text;
  std::map<std::string, std::string, std::less<>> m_values;
};

struct RequestTraceOptions
{
  /// Maximum number of context lines (endpoints, configuration, dependencies) kept per log until
  /// the request's first line.
  std::size_t m_maxContextLines = 5000;
  /// Maximum number of context lines shown before the request's first line.
  std::size_t m_contextLinesBefore = 3;
};

/// @brief Collects the lines of one request from the logs of several hosts, with their context.
///
/// The lines of each host keep their order. The context lines between them report changes in the
/// host's view of the endpoints that the request was sent to, of its configuration and of its
/// dependencies, such as the record log.
class RequestTrace
{
public:
  explicit RequestTrace(std::string aRequest, RequestTraceOptions aOptions = {});
  /// @param aLog source of the line: the name of a host or a file
  void Add(const std::string& aLog, std::string_view aLine);
  /// @brief Renders the trace as text, one log after the other; empty if no line names the request.
  [[nodiscard]] std::string Render() const;

private:
  struct Entry
  {
    ParsedLine m_line;
    bool m_namesRequest = false;
  };
  struct Log
  {
    std::deque<Entry> m_entries;
    std::set<std::string, std::less<>> m_endpoints; ///< to which the request was sent
    std::size_t m_requestLines = 0;
  };

  [[nodiscard]] static bool IsContext(const ParsedLine& aLine, const Log& aLog);
  void RenderLog(const std::string& aName, const Log& aLog, std::string& aOutput) const;

  std::string m_request;
  RequestTraceOptions m_options;
  std::map<std::string, Log> m_logs;
};

} // namespace ferrytray::telemetry
