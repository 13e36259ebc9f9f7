#pragma once

#include <cstdint>       // for uint16_t, uint32_t
#include <map>           // for map
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::peers {

/// @brief A short name of an endpoint, so that loads take few bytes. Two endpoints of one short
/// name would count each other's requests, which only makes a choice worse.
using EndpointTag = std::uint32_t;

EndpointTag TagOf(std::string_view aIncarnation);

/// @brief Work that is open at an endpoint (routing::WorkOf).
struct EndpointLoad
{
  EndpointTag m_endpoint = 0;
  std::uint16_t m_work = 0;
};

using EndpointLoads = std::vector<EndpointLoad>;

/// @brief Whose requests a host tells of.
enum class LoadScope : std::uint8_t
{
  Own,     ///< its own
  Summary, ///< its own and those of the hosts that report to it
};

struct LoadTableOptions
{
  /// What was not told again for so long is forgotten: several times the interval of reports.
  base::Duration m_expireAfter = std::chrono::milliseconds(1500);
};

/// @brief What other hosts have open at endpoints, as they last told. Pure.
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
  /// @brief Forgets what is too old.
  void Expire(base::TimePoint aNow);

  /// @brief Open work of all other hosts at an endpoint.
  [[nodiscard]] std::uint32_t RemoteLoad(EndpointTag aEndpoint) const;
  /// @brief All that is known, without what one host told itself.
  [[nodiscard]] EndpointLoads AllExcept(const std::string& aHost) const;
  /// @brief What hosts told of their own requests, together.
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

/// @brief Adds up two lists.
[[nodiscard]] EndpointLoads Sum(const EndpointLoads& aLeft, const EndpointLoads& aRight);

} // namespace ferrytray::peers
