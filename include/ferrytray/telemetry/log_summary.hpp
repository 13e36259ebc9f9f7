#pragma once

#include <cstdint>     // for int64_t, uint64_t
#include <map>         // for map
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/telemetry/request_trace.hpp" // for ParsedLine

namespace ferrytray::telemetry {

/// @brief What a day's logs say as a whole: by route how requests ended, when answers began, what
/// became of prompt tokens; why sends failed and requests were refused; calls to the record log.
class LogSummary
{
public:
  void Add(std::string_view aLine);
  /// @brief Tables as text; empty if no request has ended in these lines.
  [[nodiscard]] std::string Render() const;

private:
  struct Route
  {
    std::map<std::string, std::uint64_t> m_outcomes;
    std::vector<std::int64_t> m_startLatenciesMillis; ///< first event of prompts; end of others
    std::uint64_t m_late = 0;                         ///< began after the route's target
    std::map<std::string, std::uint64_t> m_tokens; ///< prompt tokens by what became of their part
  };

  void AddRequest(const ParsedLine& aLine);
  void RenderRoutes(std::string& aOutput) const;
  void RenderTokens(std::string& aOutput) const;

  std::map<std::string, Route> m_routes;
  std::map<std::string, std::uint64_t> m_failedSends; ///< by how they ended
  std::map<std::string, std::uint64_t> m_ownAnswers;  ///< by code
  std::map<std::string, std::uint64_t> m_logCalls;    ///< by kind and topic
};

} // namespace ferrytray::telemetry
