#pragma once

#include <deque>       // for deque
#include <map>         // for map
#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

namespace ferrytray::telemetry {

/// @brief A log line of key=value pairs taken apart.
class ParsedLine
{
public:
  /// @brief Reads what LogLine wrote; anything before "event=" (a collector's time and host) is
  /// kept as it is. @return empty if there is no event
  static std::optional<ParsedLine> Parse(std::string_view aLine);
  /// @return empty if the line has no such key
  [[nodiscard]] std::string_view Value(std::string_view aKey) const;
  [[nodiscard]] const std::string& Text() const { return m_text; }

private:
  std::string m_text;
  std::map<std::string, std::string, std::less<>> m_values;
};

struct RequestTraceOptions
{
  /// Lines kept, of each log, on what the process believed (endpoints, configuration,
  /// dependencies).
  std::size_t m_maxContextLines = 5000;
  /// Such lines that are shown from before the request's first.
  std::size_t m_contextLinesBefore = 3;
};

/// @brief One request's lines out of the logs of several hosts, with what else decided it there.
///
/// A host's lines stay in their order. Between the request's own lines stand those that changed
/// what that host believed of the endpoints it was sent to, and of the record log.
class RequestTrace
{
public:
  explicit RequestTrace(std::string aRequest, RequestTraceOptions aOptions = {});
  /// @param aLog where the line is from: a host's name or a file's
  void Add(const std::string& aLog, std::string_view aLine);
  /// @brief The story as text, one log after the other; empty if no line names the request.
  [[nodiscard]] std::string Render() const;

private:
  struct Entry
  {
    ParsedLine m_line;
    bool m_namesRequest = false; ///< names the request
  };
  struct Log
  {
    std::deque<Entry> m_entries;
    std::set<std::string, std::less<>> m_endpoints; ///< that the request was sent to
    std::size_t m_requestLines = 0;
  };

  [[nodiscard]] static bool IsContext(const ParsedLine& aLine, const Log& aLog);
  void RenderLog(const std::string& aName, const Log& aLog, std::string& aOutput) const;

  std::string m_request;
  RequestTraceOptions m_options;
  std::map<std::string, Log> m_logs;
};

} // namespace ferrytray::telemetry
