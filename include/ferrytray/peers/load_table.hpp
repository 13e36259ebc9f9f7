#pragma once

#include <cstdint>       // for uint16_t, uint32_t
#include <map>           // for map
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::peers {

/// @brief Hash of an endpoint's incarnation that keeps load reports short. Endpoints whose tags
/// collide share one count, which only makes a routing choice worse.
using EndpointTag = std::uint32_t;

EndpointTag TagOf(std::string_view aIncarnation);

/// @brief Work of the requests that are open at an endpoint (routing::WorkOf).
struct EndpointLoad
{
  EndpointTag m_endpoint = 0;
  std::uint16_t m_work = 0;
};

using EndpointLoads = std::vector<EndpointLoad>;

/// @brief Which requests a load report covers.
enum class LoadScope : std::uint8_t
{
  Own,     ///< requests of the reporting host
  Summary, ///< those and the requests of the hosts that report to it
};

struct LoadTableOptions
{
  /// A report that is not renewed expires after this time: several report intervals.
  base::Duration m_expireAfter = std::chrono::milliseconds(1500);
};

/// @brief Work that other hosts have open at endpoints, by their latest reports. Does no I/O.
class LoadTable
{
public:
  explicit LoadTable(LoadTableOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  void OnReport(const std::string& aHost,
                LoadScope aScope,
                EndpointLoads aLoads,
                base::TimePoint aNow);
  /// @brief Drops expired reports.
  void Expire(base::TimePoint aNow);

  /// @brief Returns the open work of all other hosts at an endpoint.
  [[nodiscard]] std::uint32_t RemoteLoad(EndpointTag aEndpoint) const;
  /// @brief Returns the totals of all reports except that of one host.
  [[nodiscard]] EndpointLoads AllExcept(const std::string& aHost) const;
  /// @brief Returns the totals of all reports of scope Own.
  [[nodiscard]] EndpointLoads OwnScopeTotals() const;

private:
  struct Report
  {
    LoadScope m_scope = LoadScope::Own;
    EndpointLoads m_loads;
    base::TimePoint m_reportedAt;
  };
  using Totals = std::unordered_map<EndpointTag, std::uint32_t>;

  void Subtract(const Report& aReport);

  LoadTableOptions m_options;
  std::map<std::string, Report> m_reports; ///< by host
  Totals m_totals;
};

/// @brief Adds the loads of both lists by endpoint.
[[nodiscard]] EndpointLoads Sum(const EndpointLoads& aLeft, const EndpointLoads& aRight);

} // namespace ferrytray::peers
