#include <algorithm> // for min_element, sort, shuffle
#include <array>     // for array
#include <cstdio>    // for printf
#include <numeric>   // for iota
#include <queue>     // for priority_queue
#include <random>    // for mt19937_64

#include "load.hpp"

// Simulates redundant dispatch with block designs: d copies of a job are queued and all but the
// first to start are cancelled. Unlike the paper, a cancellation takes a network delay.
namespace ferrytray::load {

namespace {

enum class CopyPlacement : std::uint8_t
{
  Design,       ///< a random block of the design
  DesignInTurn, ///< the design's blocks, round robin
  Random,
  RoundRobin,
  Estimate, ///< a single copy, at the server with the shortest estimated queue
};

enum class ReportQuality : std::uint8_t
{
  Fresh,
  Lagged,
  Lost,
};

struct ModelParameters
{
  std::size_t m_workers = 7;
  std::vector<std::vector<std::size_t>> m_design;
  CopyPlacement m_placement = CopyPlacement::Design;
  ReportQuality m_reportQuality = ReportQuality::Lost;
  double m_load = 0.8;
  double m_cancelDelay = 0;
  std::uint64_t m_seed = 1;
};

std::vector<std::vector<std::size_t>> CyclicDesign(std::size_t aWorkers,
                                                   const std::vector<std::size_t>& aBaseBlock)
{
  std::vector<std::vector<std::size_t>> blocks;
  for (std::size_t shift = 0; shift < aWorkers; ++shift) {
    std::vector<std::size_t> block;
    for (const std::size_t element : aBaseBlock) {
      block.push_back((element + shift) % aWorkers);
    }
    blocks.push_back(block);
  }
  return blocks;
}

struct JobCopy
{
  std::size_t m_job;
};

struct Server
{
  std::vector<JobCopy> m_queue;
  double m_idleAt = 0;
  std::size_t m_head = 0;
};

/// FIFO queues with cancellation: a copy whose job started elsewhere at least the cancel delay ago
/// is dropped; one that starts within the delay is wasted work.
class RedundancyModel
{
public:
  explicit RedundancyModel(const ModelParameters& aParameters)
    : m_parameters(aParameters)
    , m_random(aParameters.m_seed)
    , m_servers(aParameters.m_workers)
    , m_serverOrder(aParameters.m_workers)
  {
    std::iota(m_serverOrder.begin(), m_serverOrder.end(), 0);
  }

  std::vector<double> Run(std::size_t aJobs)
  {
    std::exponential_distribution<double> gap(m_parameters.m_load *
                                              static_cast<double>(m_parameters.m_workers));
    double now = 0;
    for (std::size_t job = 0; job < aJobs; ++job) {
      now += gap(m_random);
      AdvanceTo(now);
      m_arrivalTimes.push_back(now);
      m_startTimes.push_back(-1);
      m_serviceTimes.push_back(DrawService());
      m_endTimes.push_back(-1);
      for (const std::size_t server : ChooseServers(job, now)) {
        m_servers[server].m_queue.push_back({ job });
        m_events.push({ std::max(now, m_servers[server].m_idleAt), server });
      }
    }
    AdvanceTo(1e18);
    std::vector<double> waits;
    for (std::size_t job = aJobs / 10; job < aJobs; ++job) {
      waits.push_back(m_startTimes[job] - m_arrivalTimes[job]);
    }
    std::sort(waits.begin(), waits.end());
    return waits;
  }

  [[nodiscard]] double WastedTime() const { return m_wastedTime; }

private:
  using Event = std::pair<double, std::size_t>;

  /// Draws from a highly variable distribution with mean 1: one job in twenty is long.
  double DrawService()
  {
    std::exponential_distribution<double> unit(1);
    const bool isLong = std::uniform_real_distribution<double>(0, 1)(m_random) < 0.05;
    return unit(m_random) * (isLong ? 10.0 : 10.0 / 19);
  }

  std::vector<std::size_t> ChooseServers(std::size_t aJob, double aNow)
  {
    const std::size_t copies = m_parameters.m_design.front().size();
    if (m_parameters.m_placement == CopyPlacement::Design) {
      return m_parameters.m_design[m_random() % m_parameters.m_design.size()];
    }
    if (m_parameters.m_placement == CopyPlacement::DesignInTurn) {
      return m_parameters.m_design[aJob % m_parameters.m_design.size()];
    }
    if (m_parameters.m_placement == CopyPlacement::RoundRobin) {
      std::vector<std::size_t> targets;
      for (std::size_t i = 0; i < copies; ++i) {
        targets.push_back((aJob * copies + i) % m_parameters.m_workers);
      }
      return targets;
    }
    std::shuffle(m_serverOrder.begin(), m_serverOrder.end(), m_random);
    if (m_parameters.m_placement == CopyPlacement::Random) {
      return { m_serverOrder.begin(), m_serverOrder.begin() + static_cast<std::ptrdiff_t>(copies) };
    }
    const std::size_t chosen = ShortestQueue(aNow);
    m_targetServers[aJob] = chosen;
    return { chosen };
  }

  /// Uses the last report plus the jobs sent since, as a gate knows what it has sent itself.
  std::size_t ShortestQueue(double aNow)
  {
    UpdateReport(aNow);
    return *std::min_element(
      m_serverOrder.begin(), m_serverOrder.end(), [&](std::size_t aLeft, std::size_t aRight) {
        return EstimatedQueue(aLeft, aNow) < EstimatedQueue(aRight, aNow);
      });
  }

  double EstimatedQueue(std::size_t aServer, double aNow)
  {
    if (m_parameters.m_reportQuality == ReportQuality::Fresh) {
      return ActualQueue(aServer, aNow);
    }
    // Service times are unknown to the gate: each unfinished job counts as the mean of 1.
    double queued = m_parameters.m_reportQuality == ReportQuality::Lagged
                      ? std::max(0.0, m_reportedQueues[aServer] - (aNow - m_reportTime))
                      : 0;
    for (std::size_t job = m_firstEstimatedJob; job < m_arrivalTimes.size() - 1; ++job) {
      const bool sentThere = m_targetServers[job] == aServer;
      const bool counts =
        m_parameters.m_reportQuality == ReportQuality::Lost || m_arrivalTimes[job] > m_reportTime;
      if (sentThere && counts && (m_endTimes[job] < 0 || m_endTimes[job] > aNow)) {
        queued += 1;
      }
    }
    return queued;
  }

  void UpdateReport(double aNow)
  {
    m_targetServers.resize(m_arrivalTimes.size(), 0);
    constexpr double kReportInterval = 2; // in mean service times
    if (m_reportedQueues.empty() || aNow - m_reportTime > kReportInterval) {
      m_reportedQueues.assign(m_servers.size(), 0);
      for (std::size_t i = 0; i < m_servers.size(); ++i) {
        m_reportedQueues[i] = ActualQueue(i, aNow);
      }
      m_reportTime = aNow;
    }
    constexpr std::size_t kEstimateWindowJobs = 400;
    m_firstEstimatedJob =
      m_arrivalTimes.size() > kEstimateWindowJobs ? m_arrivalTimes.size() - kEstimateWindowJobs : 0;
  }

  double ActualQueue(std::size_t aServer, double aNow)
  {
    const Server& server = m_servers[aServer];
    double queue = std::max(0.0, server.m_idleAt - aNow);
    for (std::size_t i = server.m_head; i < server.m_queue.size(); ++i) {
      queue += m_serviceTimes[server.m_queue[i].m_job];
    }
    return queue;
  }

  void AdvanceTo(double aUntil)
  {
    while (!m_events.empty() && m_events.top().first <= aUntil) {
      const auto [at, index] = m_events.top();
      m_events.pop();
      Server& server = m_servers[index];
      if (server.m_idleAt > at) {
        continue;
      }
      StartNextCopy(server, index, at);
    }
  }

  void StartNextCopy(Server& aServer, std::size_t aIndex, double aAt)
  {
    while (aServer.m_head < aServer.m_queue.size()) {
      const std::size_t job = aServer.m_queue[aServer.m_head++].m_job;
      const bool startedElsewhere = m_startTimes[job] >= 0;
      if (startedElsewhere && aAt >= m_startTimes[job] + m_parameters.m_cancelDelay) {
        continue;
      }
      // A copy that starts before its cancellation arrives occupies the server until then.
      const double busy = startedElsewhere ? m_startTimes[job] + m_parameters.m_cancelDelay - aAt
                                           : m_serviceTimes[job];
      if (startedElsewhere) {
        m_wastedTime += busy;
      } else {
        m_startTimes[job] = aAt;
        m_endTimes[job] = aAt + busy;
      }
      aServer.m_idleAt = aAt + busy;
      m_events.push({ aServer.m_idleAt, aIndex });
      return;
    }
  }

  ModelParameters m_parameters;
  std::mt19937_64 m_random;
  std::vector<Server> m_servers;
  std::vector<std::size_t> m_serverOrder;
  std::vector<double> m_arrivalTimes;
  std::vector<double> m_startTimes;
  std::vector<double> m_serviceTimes;
  std::vector<double> m_endTimes;
  std::vector<std::size_t> m_targetServers;
  std::vector<double> m_reportedQueues;
  double m_reportTime = -1e9;
  std::size_t m_firstEstimatedJob = 0;
  double m_wastedTime = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

struct Strategy
{
  const char* m_name;
  CopyPlacement m_placement;
  ReportQuality m_reportQuality;
};

} // namespace

int Redundancy(const settings::Settings& aSettings)
{
  constexpr std::size_t kJobs = 20000;
  const std::array<Strategy, 7> strategies{
    { { "design at random", CopyPlacement::Design, ReportQuality::Lost },
      { "design in turn", CopyPlacement::DesignInTurn, ReportQuality::Lost },
      { "random subsets", CopyPlacement::Random, ReportQuality::Lost },
      { "round-robin subsets", CopyPlacement::RoundRobin, ReportQuality::Lost },
      { "estimate, fresh", CopyPlacement::Estimate, ReportQuality::Fresh },
      { "estimate, lagged", CopyPlacement::Estimate, ReportQuality::Lagged },
      { "estimate, lost", CopyPlacement::Estimate, ReportQuality::Lost } }
  };
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
        for (const Strategy& strategy : strategies) {
          double mean = 0;
          double p95 = 0;
          double p99 = 0;
          double wasted = 0;
          const std::uint64_t seeds = aSettings.Count("seeds");
          for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            RedundancyModel model({ workers,
                                    design,
                                    strategy.m_placement,
                                    strategy.m_reportQuality,
                                    load,
                                    delay,
                                    seed });
            const std::vector<double> waits = model.Run(kJobs);
            const auto runs = static_cast<double>(seeds);
            for (const double wait : waits) {
              mean += wait / static_cast<double>(waits.size()) / runs;
            }
            p95 += waits[waits.size() * 95 / 100] / runs;
            p99 += waits[waits.size() * 99 / 100] / runs;
            wasted += model.WastedTime() / kJobs / runs;
          }
          std::printf("| %s | %.3f | %.3f | %.3f | %.1f%% |\n",
                      strategy.m_name,
                      mean,
                      p95,
                      p99,
                      wasted * 100);
          rows.push_back({ { "workers", workers },
                           { "delay", delay },
                           { "load", load },
                           { "subsets", strategy.m_name },
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
