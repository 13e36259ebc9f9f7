#include "ferrytray/peers/load_table.hpp"

#include <algorithm> // for min
#include <utility>   // for move

#include "ferrytray/base/digest.hpp" // for Hash64

namespace ferrytray::peers {

namespace {

EndpointLoads ToLoads(const std::unordered_map<EndpointTag, std::uint32_t>& aTotals)
{
  EndpointLoads loads;
  loads.reserve(aTotals.size());
  for (const auto& [endpoint, work] : aTotals) {
    constexpr std::uint32_t kMaxLoad = UINT16_MAX;
    if (work > 0) {
      loads.push_back({ endpoint, static_cast<std::uint16_t>(std::min(work, kMaxLoad)) });
    }
  }
  return loads;
}

} // namespace

EndpointTag TagOf(std::string_view aIncarnation)
{
  return static_cast<EndpointTag>(base::Hash64(aIncarnation, "endpoint"));
}

void LoadTable::Subtract(const Report& aReport)
{
  for (const EndpointLoad& load : aReport.m_loads) {
    const auto total = m_totals.find(load.m_endpoint);
    total->second -= load.m_work;
    if (total->second == 0) {
      m_totals.erase(total);
    }
  }
}

void LoadTable::OnReport(const std::string& aHost,
                         LoadScope aScope,
                         EndpointLoads aLoads,
                         base::TimePoint aNow)
{
  std::erase_if(aLoads, [](const EndpointLoad& aLoad) { return aLoad.m_work == 0; });
  for (const EndpointLoad& load : aLoads) {
    m_totals[load.m_endpoint] += load.m_work;
  }
  Report& report = m_reports[aHost];
  Subtract(report);
  report = { aScope, std::move(aLoads), aNow };
}

void LoadTable::Expire(base::TimePoint aNow)
{
  std::erase_if(m_reports, [&](const auto& aPair) {
    const bool expired = aPair.second.m_reportedAt + m_options.m_expireAfter <= aNow;
    if (expired) {
      Subtract(aPair.second);
    }
    return expired;
  });
}

std::uint32_t LoadTable::RemoteLoad(EndpointTag aEndpoint) const
{
  const auto found = m_totals.find(aEndpoint);
  return found == m_totals.end() ? 0 : found->second;
}

EndpointLoads LoadTable::AllExcept(const std::string& aHost) const
{
  Totals totals = m_totals;
  const auto found = m_reports.find(aHost);
  if (found != m_reports.end()) {
    for (const EndpointLoad& load : found->second.m_loads) {
      totals[load.m_endpoint] -= load.m_work;
    }
  }
  return ToLoads(totals);
}

EndpointLoads LoadTable::OwnScopeTotals() const
{
  Totals totals;
  for (const auto& [host, report] : m_reports) {
    if (report.m_scope != LoadScope::Own) {
      continue;
    }
    for (const EndpointLoad& load : report.m_loads) {
      totals[load.m_endpoint] += load.m_work;
    }
  }
  return ToLoads(totals);
}

EndpointLoads Sum(const EndpointLoads& aLeft, const EndpointLoads& aRight)
{
  std::unordered_map<EndpointTag, std::uint32_t> totals;
  for (const EndpointLoads* loads : { &aLeft, &aRight }) {
    for (const EndpointLoad& load : *loads) {
      totals[load.m_endpoint] += load.m_work;
    }
  }
  return ToLoads(totals);
}

} // namespace ferrytray::peers
