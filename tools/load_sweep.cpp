#include <algorithm> // for min, max
#include <cstdio>    // for printf
#include <future>    // for async

#include "ferrytray/experiment/model.hpp" // for Simulate
#include "load.hpp"

namespace ferrytray::load {

namespace {

using experiment::ModelOptions;
using experiment::Outcome;
using experiment::Policy;
using experiment::TrafficMix;
using nlohmann::json;

/// The workload, size and cost weights of one users' deployment.
struct Scenario
{
  std::string m_name;
  TrafficMix m_mix = TrafficMix::BurstsOfDrafts;
  std::uint32_t m_workers = 14;
  routing::CostWeights m_weights;
};

std::vector<Scenario> Scenarios()
{
  return { { "directorate", TrafficMix::BurstsOfDrafts, 14, { 1, 0.2, 0.1 } },
           { "kauri", TrafficMix::BundlesAndLookups, 18, { 1, 2, 0.5, 4 } } };
}

std::vector<Policy> PoliciesFor(const Scenario& aScenario)
{
  return { experiment::EstimatedCost{ aScenario.m_weights },
           experiment::RoundRobin{},
           experiment::LeastLoad{},
           experiment::AffinityHash{},
           experiment::AlwaysRecompute{},
           experiment::AlwaysRestore{} };
}

/// A policy's results as means over the seeds, with the range of the 95th percentile.
struct PolicyResult
{
  std::string m_policy;
  double m_p50 = 0;
  double m_p95 = 0;
  double m_p99 = 0;
  double m_p95Min = 1e18;
  double m_p95Max = 0;
  double m_meanRecomputedShare = 0;
  double m_linkGigabytes = 0;
  double m_linkUse = 0;
};

struct SweepCase
{
  Scenario m_scenario;
  double m_load = 0.8;
  double m_reportLagSeconds = 0;
  experiment::Fault m_fault = experiment::Fault::None;
};

ModelOptions ModelOptionsFor(const SweepCase& aCase, const Policy& aPolicy, std::uint64_t aSeed)
{
  ModelOptions options;
  options.m_workers = aCase.m_scenario.m_workers;
  options.m_reportLag = aCase.m_reportLagSeconds;
  options.m_fault = aCase.m_fault;
  options.m_seed = aSeed;
  const bool estimated = std::holds_alternative<experiment::EstimatedCost>(aPolicy);
  options.m_evictionRule = estimated ? experiment::EvictionRule::LeastValuable
                                     : experiment::EvictionRule::LeastRecentlyUsed;
  options.m_exportsYieldToImports = estimated;
  return options;
}

PolicyResult RunPolicy(const SweepCase& aCase,
                       const Policy& aPolicy,
                       std::uint64_t aSeeds,
                       double aSeconds)
{
  PolicyResult row;
  row.m_policy = experiment::NameOf(aPolicy);
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    experiment::TraceOptions trace;
    trace.m_mix = aCase.m_scenario.m_mix;
    trace.m_workers = aCase.m_scenario.m_workers;
    trace.m_load = aCase.m_load;
    trace.m_seconds = aSeconds;
    trace.m_seed = seed;
    const Outcome outcome = experiment::Simulate(
      experiment::MakeTrace(trace), aPolicy, ModelOptionsFor(aCase, aPolicy, seed));
    const double p95 = outcome.Quantile(0.95);
    const auto runs = static_cast<double>(aSeeds);
    row.m_p50 += outcome.Quantile(0.5) / runs;
    row.m_p95 += p95 / runs;
    row.m_p99 += outcome.Quantile(0.99) / runs;
    row.m_p95Min = std::min(row.m_p95Min, p95);
    row.m_p95Max = std::max(row.m_p95Max, p95);
    row.m_meanRecomputedShare += outcome.m_recomputedShare / runs;
    row.m_linkGigabytes += outcome.m_linkBytes / 1e9 / runs;
    row.m_linkUse += outcome.m_linkUse / runs;
  }
  return row;
}

json RunCase(const SweepCase& aCase, const settings::Settings& aSettings)
{
  std::vector<std::future<PolicyResult>> futures;
  for (const Policy& policy : PoliciesFor(aCase.m_scenario)) {
    futures.push_back(std::async(std::launch::async, [=, &aSettings] {
      return RunPolicy(aCase, policy, aSettings.Count("seeds"), aSettings.Number("seconds"));
    }));
  }
  std::printf("\n%s, load %.2f, report lag %.0f s, fault %s\n\n",
              aCase.m_scenario.m_name.c_str(),
              aCase.m_load,
              aCase.m_reportLagSeconds,
              experiment::NameOf(aCase.m_fault).c_str());
  std::printf(
    "| policy | p50 s | p95 s (least..most) | p99 s | recomputed | link GB | link use |\n");
  std::printf("|---|---|---|---|---|---|---|\n");
  json rows = json::array();
  for (auto& future : futures) {
    const PolicyResult row = future.get();
    std::printf("| %s | %.3f | %.3f (%.3f..%.3f) | %.3f | %.1f%% | %.0f | %.0f%% |\n",
                row.m_policy.c_str(),
                row.m_p50,
                row.m_p95,
                row.m_p95Min,
                row.m_p95Max,
                row.m_p99,
                row.m_meanRecomputedShare * 100,
                row.m_linkGigabytes,
                row.m_linkUse * 100);
    rows.push_back({ { "scenario", aCase.m_scenario.m_name },
                     { "load", aCase.m_load },
                     { "lag", aCase.m_reportLagSeconds },
                     { "fault", experiment::NameOf(aCase.m_fault) },
                     { "policy", row.m_policy },
                     { "p50", row.m_p50 },
                     { "p95", row.m_p95 },
                     { "p95_least", row.m_p95Min },
                     { "p95_most", row.m_p95Max },
                     { "p99", row.m_p99 },
                     { "recomputed_share", row.m_meanRecomputedShare },
                     { "link_gigabytes", row.m_linkGigabytes },
                     { "link_use", row.m_linkUse } });
  }
  return rows;
}

int RunCases(const std::vector<SweepCase>& aCases, const settings::Settings& aSettings)
{
  json all = json::array();
  for (const SweepCase& sweepCase : aCases) {
    for (json& row : RunCase(sweepCase, aSettings)) {
      all.push_back(std::move(row));
    }
  }
  WriteJson(aSettings, all);
  return settings::kExitOk;
}

} // namespace

int Sweep(const settings::Settings& aSettings)
{
  std::vector<SweepCase> cases;
  for (const Scenario& scenario : Scenarios()) {
    for (const double load : { 0.5, 0.8, 0.95 }) {
      cases.push_back({ scenario, load });
    }
  }
  return RunCases(cases, aSettings);
}

int FaultSweep(const settings::Settings& aSettings)
{
  using experiment::Fault;
  std::vector<SweepCase> cases;
  for (const Scenario& scenario : Scenarios()) {
    for (const double lag : { 1.0, 5.0 }) {
      cases.push_back({ scenario, 0.8, lag });
    }
    for (const Fault fault : { Fault::SlowWorker,
                               Fault::StoreDead,
                               Fault::LinkAtTenth,
                               Fault::ThreeSwapping,
                               Fault::ZoneGone,
                               Fault::BlindReports }) {
      cases.push_back({ scenario, 0.8, 0, fault });
    }
  }
  return RunCases(cases, aSettings);
}

int OfflineOptimum(const settings::Settings& aSettings)
{
  constexpr std::size_t kArrivals = 6;
  constexpr std::uint32_t kWorkers = 3;
  std::printf("| trace | offline best mean s | ferrytray mean s | ratio |\n|---|---|---|---|\n");
  double worst = 0;
  double sum = 0;
  json rows = json::array();
  const std::uint64_t traces = aSettings.Count("seeds");
  for (std::uint64_t seed = 1; seed <= traces; ++seed) {
    // Takes the first arrivals of a trace at high load and packs them densely so that queues form.
    experiment::TraceOptions options;
    options.m_workers = kWorkers;
    options.m_load = 3;
    options.m_seed = seed;
    options.m_seconds = 600;
    auto trace = experiment::MakeTrace(options);
    trace.resize(std::min(trace.size(), kArrivals));
    for (std::size_t i = 0; i < trace.size(); ++i) {
      trace[i].m_context = 1 + trace[i].m_context % 3;
      trace[i].m_blocks = 20 + trace[i].m_context * 10;
      trace[i].m_at = 0.4 * static_cast<double>(i) + 0.01 * static_cast<double>(seed % 7);
    }
    ModelOptions model;
    model.m_workers = kWorkers;
    model.m_gates = 1;
    const double optimal = experiment::OfflineBestMean(trace, model);
    const Outcome estimated =
      experiment::Simulate(trace, experiment::EstimatedCost{ { 1, 0, 0 } }, model);
    double mean = 0;
    for (const double firstToken : estimated.m_timesToFirstToken) {
      mean += firstToken / static_cast<double>(trace.size());
    }
    worst = std::max(worst, mean / optimal);
    sum += mean / optimal;
    std::printf("| %llu | %.4f | %.4f | %.3f |\n",
                static_cast<unsigned long long>(seed),
                optimal,
                mean,
                mean / optimal);
    rows.push_back({ { "seed", seed }, { "best", optimal }, { "ours", mean } });
  }
  std::printf("\nmean ratio %.3f, worst %.3f over %llu traces\n",
              sum / static_cast<double>(traces),
              worst,
              static_cast<unsigned long long>(traces));
  WriteJson(aSettings, rows);
  return settings::kExitOk;
}

const std::vector<Command>& Commands()
{
  static const std::vector<Command> kCommands{
    { "sweep", Sweep },           { "faults", FaultSweep }, { "small", OfflineOptimum },
    { "redundancy", Redundancy }, { "cost", DecisionCost }, { "parts", ComponentCosts },
    { "probe", GateOverhead },    { "drive", DriveLoad }
  };
  return kCommands;
}

} // namespace ferrytray::load
