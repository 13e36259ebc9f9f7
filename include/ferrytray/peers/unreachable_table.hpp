#pragma once

#include <map>    // for map
#include <span>   // for span
#include <string> // for string

#include "ferrytray/base/time.hpp"        // for Duration, TimePoint
#include "ferrytray/peers/load_table.hpp" // for EndpointTag

namespace ferrytray::peers {

struct UnreachableTableOptions
{
  /// How long a report counts. A host repeats it while it avoids the endpoint.
  base::Duration m_retention = std::chrono::milliseconds(700);
};

/// @brief Endpoints that several hosts could not reach recently. Does no I/O.
///
/// The directory lists a crashed endpoint for some more seconds. The report of one host does not
/// suffice, since that host itself may be cut off.
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
  /// @brief Whether at least two hosts reported the endpoint recently.
  [[nodiscard]] bool IsUnreachable(EndpointTag aEndpoint, base::TimePoint aNow) const;

private:
  UnreachableTableOptions m_options;
  std::map<EndpointTag, std::map<std::string, base::TimePoint>> m_reporters;
};

} // namespace ferrytray::peers
