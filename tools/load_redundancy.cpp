#include <algorithm> // for min_element, sort, shuffle
#include <array>     // for array
#include <cstdio>    // for printf
#include <numeric>   // for iota
#include <queue>     // for priority_queue
#include <random>    // for mt19937_64

#include "load.hpp"

// The redundancy experiment after the paper on block designs: d copies of a job are queued and all
// but the first to start are cancelled, here with the delay that a cancel takes on a network.
namespace ferrytray::load {

namespace {

enum class Subsets : std::uint8_t
{
  Design,       ///< a block of the design at random
  DesignInTurn, ///< the design's blocks in turn
  Random,
  RoundRobin,
  Estimate, ///< no copies: the shortest estimated queue
};

enum class Reports : std::uint8_t
{
  Fresh,
  Lagged,
  Lost,
};

struct Setup
{
  std::size_t m_workers = 7;
  std::vector<std::vector<std::size_t>> m_design;
  Subsets m_subsets = Subsets::Design;
  Reports m_reports = Reports::Lost;
  double m_load = 0.8;
  double m_cancelDelay = 0;
  std::uint64_t m_seed = 1;
};

std::vector<std::vector<std::size_t>> CyclicDesign(std::size_t aWorkers,
                                                   const std::vector<std::size_t>& aBase)
{
  std::vector<std::vector<std::size_t>> blocks;
  for (std::size_t shift = 0; shift < aWorkers; ++shift) {
    std::vector<std::size_t> block;
    for (const std::size_t each : aBase) {
      block.push_back((each + shift) % aWorkers);
    }
    blocks.push_back(block);
  }
  return blocks;
}

struct Copy
{
  std::size_t m_job;
};

struct Server
{
  std::vector<Copy> m_queue;
  double m_freeAt = 0;
  std::size_t m_head = 0;
};

/// First-come queues with cancellation: a copy whose job started elsewhere more than the cancel
/// delay ago is dropped; one that starts within the delay is run for nothing.
class RedundancyModel
{
public:
  explicit RedundancyModel(const Setup& aSetup)
    : m_setup(aSetup)
    , m_random(aSetup.m_seed)
    , m_servers(aSetup.m_workers)
    , m_order(aSetup.m_workers)
  {
    std::iota(m_order.begin(), m_order.end(), 0);
  }

  std::vector<double> Run(std::size_t aJobs)
  {
    std::exponential_distribution<double> gap(m_setup.m_load *
                                              static_cast<double>(m_setup.m_workers));
    double now = 0;
    for (std::size_t job = 0; job < aJobs; ++job) {
      now += gap(m_random);
      Advance(now);
      m_arrivals.push_back(now);
      m_started.push_back(-1);
      m_service.push_back(DrawService());
      m_answered.push_back(-1);
      for (const std::size_t server : Targets(job, now)) {
        m_servers[server].m_queue.push_back({ job });
        m_events.push({ std::max(now, m_servers[server].m_freeAt), server });
      }
    }
    Advance(1e18);
    std::vector<double> waits;
    for (std::size_t job = aJobs / 10; job < aJobs; ++job) {
      waits.push_back(m_started[job] - m_arrivals[job]);
    }
    std::sort(waits.begin(), waits.end());
    return waits;
  }

  [[nodiscard]] double Wasted() const { return m_wasted; }

private:
  using Event = std::pair<double, std::size_t>;

  /// Highly variable: one job in twenty is long (mean 1).
  double DrawService()
  {
    std::exponential_distribution<double> unit(1);
    const bool isLong = std::uniform_real_distribution<double>(0, 1)(m_random) < 0.05;
    return unit(m_random) * (isLong ? 10.0 : 10.0 / 19);
  }

  std::vector<std::size_t> Targets(std::size_t aJob, double aNow)
  {
    const std::size_t copies = m_setup.m_design.front().size();
    if (m_setup.m_subsets == Subsets::Design) {
      return m_setup.m_design[m_random() % m_setup.m_design.size()];
    }
    if (m_setup.m_subsets == Subsets::DesignInTurn) {
      return m_setup.m_design[aJob % m_setup.m_design.size()];
    }
    if (m_setup.m_subsets == Subsets::RoundRobin) {
      std::vector<std::size_t> targets;
      for (std::size_t i = 0; i < copies; ++i) {
        targets.push_back((aJob * copies + i) % m_setup.m_workers);
      }
      return targets;
    }
    std::shuffle(m_order.begin(), m_order.end(), m_random);
    if (m_setup.m_subsets == Subsets::Random) {
      return { m_order.begin(), m_order.begin() + static_cast<std::ptrdiff_t>(copies) };
    }
    const std::size_t chosen = ShortestQueue(aNow);
    m_sentTo[aJob] = chosen;
    return { chosen };
  }

  /// By the report as it is, plus what was sent since: the gate knows its own sends.
  std::size_t ShortestQueue(double aNow)
  {
    TakeReport(aNow);
    return *std::min_element(
      m_order.begin(), m_order.end(), [&](std::size_t aLeft, std::size_t aRight) {
        return Estimated(aLeft, aNow) < Estimated(aRight, aNow);
      });
  }

  double Estimated(std::size_t aServer, double aNow)
  {
    if (m_setup.m_reports == Reports::Fresh) {
      return TrueQueue(aServer, aNow);
    }
    // Without the service times of others a send counts as the mean; answered ones are known.
    double queued = m_setup.m_reports == Reports::Lagged
                      ? std::max(0.0, m_report[aServer] - (aNow - m_reportAt))
                      : 0;
    for (std::size_t job = m_recent; job < m_arrivals.size() - 1; ++job) {
      const bool sentThere = m_sentTo[job] == aServer;
      const bool counts = m_setup.m_reports == Reports::Lost || m_arrivals[job] > m_reportAt;
      if (sentThere && counts && (m_answered[job] < 0 || m_answered[job] > aNow)) {
        queued += 1;
      }
    }
    return queued;
  }

  void TakeReport(double aNow)
  {
    m_sentTo.resize(m_arrivals.size(), 0);
    constexpr double kReportEvery = 2; // mean service times
    if (m_report.empty() || aNow - m_reportAt > kReportEvery) {
      m_report.assign(m_servers.size(), 0);
      for (std::size_t i = 0; i < m_servers.size(); ++i) {
        m_report[i] = TrueQueue(i, aNow);
      }
      m_reportAt = aNow;
    }
    constexpr std::size_t kRemembered = 400;
    m_recent = m_arrivals.size() > kRemembered ? m_arrivals.size() - kRemembered : 0;
  }

  double TrueQueue(std::size_t aServer, double aNow)
  {
    const Server& server = m_servers[aServer];
    double queue = std::max(0.0, server.m_freeAt - aNow);
    for (std::size_t i = server.m_head; i < server.m_queue.size(); ++i) {
      queue += m_service[server.m_queue[i].m_job];
    }
    return queue;
  }

  void Advance(double aUntil)
  {
    while (!m_events.empty() && m_events.top().first <= aUntil) {
      const auto [at, index] = m_events.top();
      m_events.pop();
      Server& server = m_servers[index];
      if (server.m_freeAt > at) {
        continue;
      }
      StartNext(server, index, at);
    }
  }

  void StartNext(Server& aServer, std::size_t aIndex, double aAt)
  {
    while (aServer.m_head < aServer.m_queue.size()) {
      const std::size_t job = aServer.m_queue[aServer.m_head++].m_job;
      const bool startedElsewhere = m_started[job] >= 0;
      if (startedElsewhere && aAt >= m_started[job] + m_setup.m_cancelDelay) {
        continue;
      }
      // A late cancel stops a copy that has started: the server is taken until the cancel comes.
      const double busy =
        startedElsewhere ? m_started[job] + m_setup.m_cancelDelay - aAt : m_service[job];
      if (startedElsewhere) {
        m_wasted += busy;
      } else {
        m_started[job] = aAt;
        m_answered[job] = aAt + busy;
      }
      aServer.m_freeAt = aAt + busy;
      m_events.push({ aServer.m_freeAt, aIndex });
      return;
    }
  }

  Setup m_setup;
  std::mt19937_64 m_random;
  std::vector<Server> m_servers;
  std::vector<std::size_t> m_order;
  std::vector<double> m_arrivals;
  std::vector<double> m_started;
  std::vector<double> m_service;
  std::vector<double> m_answered;
  std::vector<std::size_t> m_sentTo;
  std::vector<double> m_report;
  double m_reportAt = -1e9;
  std::size_t m_recent = 0;
  double m_wasted = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

struct Line
{
  const char* m_name;
  Subsets m_subsets;
  Reports m_reports;
};

} // namespace

int Redundancy(const settings::Settings& aSettings)
{
  constexpr std::size_t kJobs = 20000;
  const std::array<Line, 7> lines{ { { "design at random", Subsets::Design, Reports::Lost },
                                     { "design in turn", Subsets::DesignInTurn, Reports::Lost },
                                     { "random subsets", Subsets::Random, Reports::Lost },
                                     { "round-robin subsets", Subsets::RoundRobin, Reports::Lost },
                                     { "estimate, fresh", Subsets::Estimate, Reports::Fresh },
                                     { "estimate, lagged", Subsets::Estimate, Reports::Lagged },
                                     { "estimate, lost", Subsets::Estimate, Reports::Lost } } };
  const std::array<std::pair<std::size_t, std::vector<std::vector<std::size_t>>>, 2> designs{
    { { 7, CyclicDesign(7, { 0, 1, 3 }) }, { 13, CyclicDesign(13, { 0, 1, 3, 9 }) } }
  };
  std::printf("Waits in mean service times; 5%% of the jobs are 19 times as long as the others.\n");
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [workers, design] : designs) {
    for (const double delay : { 0.0, 0.05 }) {
      for (const double load : { 0.5, 0.8, 0.95 }) {
        std::printf("\n(%zu,%zu,1), cancel delay %.2f, load %.2f\n\n| subsets | mean | p95 | p99 | "
                    "wasted |\n|---|---|---|---|---|\n",
                    workers,
                    design.front().size(),
                    delay,
                    load);
        for (const Line& line : lines) {
          double mean = 0;
          double p95 = 0;
          double p99 = 0;
          double wasted = 0;
          const std::uint64_t seeds = aSettings.Count("seeds");
          for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            RedundancyModel model(
              { workers, design, line.m_subsets, line.m_reports, load, delay, seed });
            const std::vector<double> waits = model.Run(kJobs);
            const auto runs = static_cast<double>(seeds);
            for (const double wait : waits) {
              mean += wait / static_cast<double>(waits.size()) / runs;
            }
            p95 += waits[waits.size() * 95 / 100] / runs;
            p99 += waits[waits.size() * 99 / 100] / runs;
            wasted += model.Wasted() / kJobs / runs;
          }
          std::printf(
            "| %s | %.3f | %.3f | %.3f | %.1f%% |\n", line.m_name, mean, p95, p99, wasted * 100);
          rows.push_back({ { "workers", workers },
                           { "delay", delay },
                           { "load", load },
                           { "subsets", line.m_name },
                           { "mean", mean },
                           { "p95", p95 } });
        }
      }
    }
  }
  WriteJson(aSettings, rows);
  return settings::kExitOk;
}

} // namespace ferrytray::load
