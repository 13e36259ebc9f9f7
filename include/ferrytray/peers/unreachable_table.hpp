#pragma once

#include <map>    // for map
#include <span>   // for span
#include <string> // for string

#include "ferrytray/base/time.hpp"        // for Duration, TimePoint
#include "ferrytray/peers/load_table.hpp" // for EndpointTag

namespace ferrytray::peers {

struct UnreachableTableOptions
{
  /// What a host told counts for so long: it tells of an endpoint anew while it avoids it.
  base::Duration m_retention = std::chrono::milliseconds(700);
};

/// @brief Endpoints that several hosts could not reach lately. Pure.
///
/// An endpoint that crashed is in the directory for seconds more. One host's word is not enough:
/// that host may be the one that is cut off.
class UnreachableTable
{
public:
  explicit UnreachableTable(UnreachableTableOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  void OnReport(const std::string& aHost,
                std::span<const EndpointTag> aEndpoints,
                base::TimePoint aNow);
  /// @brief Whether two hosts or more told of it lately.
  [[nodiscard]] bool IsUnreachable(EndpointTag aEndpoint, base::TimePoint aNow) const;

private:
  UnreachableTableOptions m_options;
  std::map<EndpointTag, std::map<std::string, base::TimePoint>> m_reporters;
};

} // namespace ferrytray::peers
