#include "ferrytray/wire/endpoint.hpp"

#include <map>       // for map
#include <stdexcept> // for invalid_argument

#include <nlohmann/json.hpp> // for json

namespace ferrytray::wire {

namespace {

using nlohmann::json;

Role ParseRole(const std::string& aText)
{
  static const std::map<std::string, Role> kRoles{ { "entry", Role::Entry },
                                                   { "engine", Role::Engine },
                                                   { "service", Role::Service },
                                                   { "store", Role::Store } };
  const auto found = kRoles.find(aText);
  if (found == kRoles.end()) {
    throw std::invalid_argument("role '" + aText + "'");
  }
  return found->second;
}

ListedHost ParseHost(const json& aRow)
{
  ListedHost host;
  host.m_name = aRow.at("name").get<std::string>();
  host.m_role = ParseRole(aRow.at("role").get<std::string>());
  host.m_pool = aRow.value("pool", "");
  host.m_zone = aRow.value("zone", "");
  host.m_address = aRow.at("address").get<std::string>();
  host.m_incarnation = aRow.value("incarnation", "1");
  host.m_leaving = aRow.value("state", "live") != "live";
  return host;
}

} // namespace

base::Result<std::vector<ListedHost>> ParseHostList(const std::string& aJson)
{
  try {
    const json list = json::parse(aJson);
    std::vector<ListedHost> hosts;
    for (const json& row : list.at("hosts")) {
      hosts.push_back(ParseHost(row));
    }
    return hosts;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::PlatformMalformed,
                      std::string("host list: ") + error.what());
  }
}

base::Result<LoadReport> ParseLoadReport(const std::string& aJson)
{
  try {
    const json object = json::parse(aJson);
    LoadReport report;
    report.m_incarnation = object.at("incarnation").get<std::string>();
    report.m_version = object.value("version", "");
    report.m_swapping = object.value("swapping", false);
    report.m_leaving = object.value("leaving", false);
    report.m_queuedMillis = object.at("queued_ms").get<std::uint32_t>();
    report.m_ageMillis = object.value("age_ms", 0U);
    report.m_tokensPerSecond = object.value("tokens_per_second", 0.0);
    return report;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::PlatformMalformed,
                      std::string("load report: ") + error.what());
  }
}

} // namespace ferrytray::wire
