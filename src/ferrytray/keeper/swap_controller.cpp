#include "ferrytray/keeper/swap_controller.hpp"

#include <algorithm> // for any_of

#include <nlohmann/json.hpp> // for json

#include "ferrytray/base/digest.hpp"        // for HashWithSeed
#include "ferrytray/keeper/lease_codec.hpp" // for EncodeLease, DecodeLease
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::keeper {

namespace {

constexpr const char* kTopic = "leases";

std::string LeaseName(const std::string& aFleet)
{
  return "swap/" + aFleet;
}

control::LeaseHolderOptions MakeHolderOptions(const KeeperOptions& aOptions)
{
  constexpr int kRenewalsPerLease = 3;
  constexpr int kSendTimesPerLease = 5;
  constexpr int kClockMarginsPerLease = 18;
  control::LeaseHolderOptions options;
  options.m_duration = aOptions.m_leaseDuration;
  options.m_renewEvery = aOptions.m_leaseDuration / kRenewalsPerLease;
  options.m_maxSendTime = aOptions.m_leaseDuration / kSendTimesPerLease;
  options.m_clockMargin = aOptions.m_leaseDuration / kClockMarginsPerLease;
  return options;
}

/// Whether this host has the highest rendezvous hash for a lease among the given hosts.
bool RanksFirst(const std::string& aSelf,
                const std::string& aLease,
                const std::vector<std::string>& aHosts)
{
  const auto score = [&](const std::string& aHost) {
    return base::HashWithSeed(base::HashWithSeed({}, aLease), aHost);
  };
  const base::Digest128 ownScore = score(aSelf);
  return std::none_of(aHosts.begin(), aHosts.end(), [&](const std::string& aHost) {
    return score(aHost) > ownScore;
  });
}

std::vector<control::WorkerVersion> FleetWorkers(
  const std::string& aFleet,
  const std::vector<wire::EndpointStatus>& aEndpoints)
{
  std::vector<control::WorkerVersion> workers;
  for (const wire::EndpointStatus& endpoint : aEndpoints) {
    const bool reported = !endpoint.m_load.m_incarnation.empty();
    if (endpoint.m_host.m_role == wire::Role::Engine && endpoint.m_host.m_pool == aFleet &&
        reported) {
      workers.push_back({ endpoint.m_host.m_name,
                          endpoint.m_host.m_incarnation,
                          endpoint.m_load.m_version,
                          endpoint.m_load.m_swapping,
                          endpoint.m_host.m_leaving,
                          endpoint.m_load.m_queuedMillis });
    }
  }
  return workers;
}

} // namespace

SwapController::SwapController(net::Loop& aLoop,
                               net::HttpClient& aHttp,
                               const KeeperOptions& aOptions)
  : m_http(aHttp)
  , m_holderName(aOptions.m_host + "#" + std::to_string(aOptions.m_incarnation))
  , m_holderOptions(MakeHolderOptions(aOptions))
  , m_follower(aLoop, aHttp, aOptions.m_platform, kTopic)
  , m_appender(aHttp, aOptions.m_platform, kTopic)
{
}

void SwapController::Start()
{
  m_follower.Start(
    1, [this](const wire::LogPage& aPage) { OnPage(aPage); }, [](bool) {});
}

void SwapController::OnPage(const wire::LogPage& aPage)
{
  for (const wire::LogRecord& record : aPage.m_records) {
    const auto lease = DecodeLease(record.m_body);
    if (!lease) {
      continue;
    }
    m_leases.Apply(record.m_offset, record.m_time, *lease);
    if (lease->m_holder != m_holderName) {
      continue;
    }
    for (auto& [fleet, fleetControl] : m_fleets) {
      fleetControl.m_holder.OnReadBack(m_leases.Find(LeaseName(fleet)), base::MonotonicNow());
    }
  }
}

void SwapController::OnRound(const std::vector<const config::Fleet*>& aFleets,
                             const std::vector<wire::EndpointStatus>& aEndpoints,
                             const std::vector<std::string>& aHosts,
                             base::TimePoint aNow)
{
  const std::string self = m_holderName.substr(0, m_holderName.rfind('#'));
  std::vector<std::string> leasesToAppend;
  m_needsAllZones = false;
  for (const config::Fleet* fleet : aFleets) {
    auto& fleetControl =
      m_fleets.try_emplace(fleet->m_name, m_holderName, m_holderOptions).first->second;
    const auto held = m_leases.Find(LeaseName(fleet->m_name));
    const bool heldHere = held && held->m_holder == m_holderName;
    const bool ranksFirst = RanksFirst(self, LeaseName(fleet->m_name), aHosts);
    if ((heldHere || ranksFirst) &&
        fleetControl.m_holder.ShouldAppend(held, m_follower.PlatformTime(aNow), aNow)) {
      leasesToAppend.push_back(LeaseName(fleet->m_name));
      fleetControl.m_holder.OnAppendSent(aNow);
    }
    OrderSwaps(*fleet, fleetControl, aEndpoints, aNow);
  }
  AppendLeases(leasesToAppend, aNow);
}

void SwapController::AppendLeases(const std::vector<std::string>& aLeaseNames, base::TimePoint)
{
  const bool canAppend = m_follower.CaughtUp() && m_follower.Reachable();
  if (aLeaseNames.empty() || m_appendPending || !canAppend) {
    return;
  }
  m_appendPending = true;
  const control::LeaseRecord record{ m_holderName, aLeaseNames, m_holderOptions.m_duration };
  m_appender.Append(EncodeLease(record), [this](const base::Result<std::uint64_t>& aOffset) {
    m_appendPending = false;
    if (aOffset) {
      m_follower.ExpectRecord(*aOffset);
    }
  });
}

void SwapController::OrderSwaps(const config::Fleet& aFleet,
                                FleetControl& aControl,
                                const std::vector<wire::EndpointStatus>& aEndpoints,
                                base::TimePoint aNow)
{
  if (!aControl.m_holder.MaySendOrder(aFleet.m_checksFencing, aNow)) {
    return;
  }
  if (aControl.m_plannerToken != aControl.m_holder.CurrentFencingToken()) {
    // A new holder does not know the orders of the previous one, so it plans from the versions
    // that the workers report.
    aControl.m_planner.Reset();
    aControl.m_plannerToken = aControl.m_holder.CurrentFencingToken();
  }
  aControl.m_planner.SetMaxConcurrent(aFleet.m_maxConcurrentSwaps);
  const auto workers = FleetWorkers(aFleet.m_name, aEndpoints);
  const bool anyToSwap = std::any_of(workers.begin(), workers.end(), [&](const auto& aWorker) {
    return aWorker.m_version != aFleet.m_version && !aWorker.m_leaving;
  });
  m_needsAllZones = m_needsAllZones || anyToSwap;
  for (const control::SwapOrder& order : aControl.m_planner.Plan(aFleet.m_version, workers, aNow)) {
    for (const wire::EndpointStatus& endpoint : aEndpoints) {
      if (endpoint.m_host.m_name == order.m_worker) {
        SendOrder(aFleet, order, endpoint.m_host.m_address);
      }
    }
  }
}

void SwapController::SendOrder(const config::Fleet& aFleet,
                               const control::SwapOrder& aOrder,
                               const std::string& aAddress)
{
  const FleetControl& fleetControl = m_fleets.at(aFleet.m_name);
  if (!fleetControl.m_holder.MaySendOrder(aFleet.m_checksFencing, base::MonotonicNow())) {
    return;
  }
  telemetry::LogLine("swap_order")
    .Add("fleet", aFleet.m_name)
    .Add("worker", aOrder.m_worker)
    .Add("version", aOrder.m_version)
    .Add("fence", fleetControl.m_holder.CurrentFencingToken());
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + aAddress + "/orders";
  request.m_body = nlohmann::json{
    { "version", aOrder.m_version },
    { "incarnation", aOrder.m_incarnation },
    { "fence", fleetControl.m_holder.CurrentFencingToken() }
  }.dump();
  request.m_timeout = m_holderOptions.m_maxSendTime;
  m_http.Fetch(
    std::move(request),
    [worker = aOrder.m_worker](const net::ClientOutcome& aOutcome, const std::string&) {
      telemetry::LogLine("swap_order_reply").Add("worker", worker).Add("status", aOutcome.m_status);
    });
}

} // namespace ferrytray::keeper
