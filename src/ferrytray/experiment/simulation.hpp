#pragma once

#include <algorithm>     // for max, min, sort
#include <cmath>         // for floor
#include <deque>         // for deque
#include <queue>         // for priority_queue
#include <random>        // for mt19937_64
#include <set>           // for set
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/experiment/queues.hpp"  // for WorkerModel, StoreModel
#include "ferrytray/routing/candidate.hpp"  // for WorkerView, StoreView
#include "ferrytray/routing/rendezvous.hpp" // for RendezvousHomes

namespace ferrytray::experiment {

inline constexpr double kReportIntervalSeconds = 0.2;
inline constexpr double kNever = 1e18;
inline constexpr double kImportRoundTripSeconds = 0.002;

/// A request that a gate has sent and that has no first token yet.
struct OutstandingRequest
{
  double m_at;
  double m_seconds;
  std::size_t m_index;
};

/// A placement decision: the worker, and the number of blocks to import from the store.
struct Placement
{
  std::size_t m_worker = 0;
  std::uint32_t m_importBlocks = 0;
};

struct Event
{
  double m_at;
  std::size_t m_worker;
  bool operator>(const Event& aOther) const { return m_at > aOther.m_at; }
};

class Simulation
{
public:
  Simulation(const std::vector<Arrival>& aTrace, const ModelOptions& aOptions)
    : m_trace(aTrace)
    , m_options(aOptions)
    , m_random(aOptions.m_seed)
    , m_returnHistograms(kMaxAccounts)
    , m_workers(aOptions.m_workers, WorkerModel(aOptions.m_cacheBlocks))
    , m_outstandingRequests(aOptions.m_gates,
                            std::vector<std::deque<OutstandingRequest>>(aOptions.m_workers))
  {
    for (std::uint32_t i = 0; i < aOptions.m_stores; ++i) {
      m_stores.emplace_back(aOptions, m_returnHistograms);
    }
    for (std::uint32_t i = 0; i < aOptions.m_workers; ++i) {
      m_names.push_back("w" + std::to_string(i));
    }
    m_outcome.m_timesToFirstToken.assign(aTrace.size(), 0);
    m_reports.resize(aOptions.m_workers);
    m_seconds = aTrace.empty() ? 1 : aTrace.back().m_at;
  }

  /// @param aPlace returns the Placement of one arrival
  template<typename Place>
  Outcome Run(Place aPlace)
  {
    for (std::size_t i = 0; i < m_trace.size(); ++i) {
      RunEventsUntil(m_trace[i].m_at);
      m_now = m_trace[i].m_at;
      InjectFaults();
      UpdateReports();
      RecordReturn(m_trace[i]);
      for (StoreModel& store : m_stores) {
        store.AdvanceExports(m_now);
      }
      m_gate = m_random() % m_options.m_gates;
      Dispatch(i, aPlace(*this, i));
    }
    RunEventsUntil(kNever);
    return Finish();
  }

  // --- state visible to policies -----------------------------------------------------------

  [[nodiscard]] const Arrival& ArrivalAt(std::size_t aIndex) const { return m_trace[aIndex]; }
  [[nodiscard]] const ModelOptions& Options() const { return m_options; }
  [[nodiscard]] std::size_t Workers() const { return m_workers.size(); }
  [[nodiscard]] double ReportedQueueSeconds(std::size_t aWorker) const
  {
    return m_reports[aWorker].m_queueSeconds;
  }
  std::uint64_t Random() { return m_random(); }
  [[nodiscard]] std::size_t Gate() const { return m_gate; }

  [[nodiscard]] routing::WorkerView View(std::size_t aWorker, const Arrival& aArrival) const
  {
    routing::WorkerView view;
    const Report& report = m_reports[aWorker];
    view.m_reportedWait = base::FromSeconds(report.m_queueSeconds);
    view.m_reportAge = base::FromSeconds(std::min(1e6, m_now - report.m_at));
    view.m_tokensPerSecond = m_options.m_tokensPerSecond / report.m_slowness;
    view.m_usable = report.m_usable;
    view.m_cachedBlocks = m_workers[aWorker].m_cache.Blocks(aArrival.m_context);
    for (const OutstandingRequest& request : m_outstandingRequests[m_gate][aWorker]) {
      if (request.m_at > report.m_at) {
        view.m_sentSinceReport += base::FromSeconds(request.m_seconds);
      }
    }
    return view;
  }

  [[nodiscard]] routing::StoreView StoreOf(const Arrival& aArrival) const
  {
    const StoreModel& store = m_stores[aArrival.m_context % m_stores.size()];
    return { store.Blocks(aArrival.m_context),
             base::FromSeconds(std::max(0.0, store.LinkFreeAt() - m_now)),
             store.BytesPerSecond(aArrival.m_context),
             base::FromSeconds(kImportRoundTripSeconds) };
  }

  [[nodiscard]] std::vector<std::size_t> Homes(const Arrival& aArrival, std::size_t aCount) const
  {
    return routing::RendezvousHomes({ aArrival.m_context, aArrival.m_context }, m_names, aCount);
  }

private:
  static constexpr std::size_t kMaxAccounts = 64;

  struct Report
  {
    double m_at = 0;
    double m_queueSeconds = 0;
    double m_slowness = 1;
    bool m_usable = true;
  };

  [[nodiscard]] double QueueSeconds(const WorkerModel& aWorker) const
  {
    double queue = aWorker.m_busy ? std::max(0.0, aWorker.m_busyUntil - m_now) : 0;
    for (const Job& job : aWorker.m_waiting) {
      queue += job.m_expectedSeconds * aWorker.m_slowness;
    }
    return queue + std::max(0.0, aWorker.m_blockedUntil - m_now);
  }

  void UpdateReports()
  {
    const double tick = std::floor(m_now / kReportIntervalSeconds);
    if (tick == m_lastTick) {
      return;
    }
    m_lastTick = tick;
    std::vector<Report> fresh(m_workers.size());
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      fresh[i] = { m_now,
                   QueueSeconds(m_workers[i]),
                   m_workers[i].m_slowness,
                   m_workers[i].m_blockedUntil <= m_now };
    }
    m_history.push_back(std::move(fresh));
    const bool reportsLost = m_options.m_fault == Fault::BlindReports && m_now > m_seconds * 0.2;
    while (!reportsLost && m_history.size() > 1 &&
           m_now - m_history.front().front().m_at >= m_options.m_reportLag) {
      m_reports = m_history.front();
      m_history.pop_front();
      if (m_options.m_reportLag == 0 && !m_history.empty()) {
        m_reports = m_history.back();
        m_history.clear();
      }
    }
    if (!reportsLost && m_options.m_reportLag == 0 && !m_history.empty()) {
      m_reports = m_history.back();
      m_history.clear();
    }
  }

  void InjectFaults()
  {
    const double progress = m_now / m_seconds;
    if (m_options.m_fault == Fault::SlowWorker && progress > 0.2) {
      m_workers[0].m_slowness = 10;
    } else if (m_options.m_fault == Fault::StoreDead && progress > 0.3 && !m_faultInjected) {
      m_faultInjected = true;
      m_stores[0].Fail();
    } else if (m_options.m_fault == Fault::LinkAtTenth && progress > 0.3) {
      m_stores[0].SetLinkSpeed(m_options.m_linkBytesPerSecond / 10);
    } else if (m_options.m_fault == Fault::ThreeSwapping && m_now > m_nextFaultAt) {
      m_nextFaultAt = m_now + 20;
      for (std::size_t i = 0; i < 3; ++i) {
        BlockWorker((m_nextSwappingWorker++) % m_workers.size(), 3);
      }
    } else if (m_options.m_fault == Fault::ZoneGone && progress > 0.33 && !m_faultInjected) {
      m_faultInjected = true;
      for (std::size_t i = 0; i < m_workers.size() / 3; ++i) {
        BlockWorker(i, m_seconds * 0.33);
      }
    }
  }

  void BlockWorker(std::size_t aWorker, double aSeconds)
  {
    WorkerModel& worker = m_workers[aWorker];
    worker.m_blockedUntil = m_now + aSeconds;
    worker.m_cache.Clear();
    m_events.push({ worker.m_blockedUntil, aWorker });
  }

  void RecordReturn(const Arrival& aArrival)
  {
    const auto seen = m_lastSeen.find(aArrival.m_context);
    if (seen != m_lastSeen.end()) {
      m_returnHistograms[aArrival.m_account].OnReturn(
        base::FromSeconds(aArrival.m_at - seen->second));
    }
    m_lastSeen[aArrival.m_context] = aArrival.m_at;
    m_recentContexts.push_back({ aArrival.m_context, aArrival.m_account, aArrival.m_at });
    // A context that does not return in time counts as not returned, as in the gate's bounded
    // table.
    while (!m_recentContexts.empty() &&
           m_now - m_recentContexts.front().m_at > kForgetAfterSeconds) {
      const RecentContext old = m_recentContexts.front();
      m_recentContexts.pop_front();
      if (m_lastSeen.at(old.m_context) == old.m_at) {
        m_returnHistograms[old.m_account].OnNotReturned();
      }
    }
  }

  void Dispatch(std::size_t aIndex, const Placement& aPlacement)
  {
    const Arrival& arrival = m_trace[aIndex];
    WorkerModel& worker = m_workers[aPlacement.m_worker];
    Job job{ aIndex, m_now, m_now, 0, 0 };
    const std::uint32_t cached = worker.m_cache.Blocks(arrival.m_context);
    if (aPlacement.m_importBlocks > 0) {
      StoreModel& store = m_stores[arrival.m_context % m_stores.size()];
      const double bytes = aPlacement.m_importBlocks * m_options.m_bytesPerBlock;
      job.m_readyAt =
        store.ScheduleTransfer(bytes, store.BytesPerSecond(arrival.m_context), m_now) +
        kImportRoundTripSeconds;
      job.m_importedBlocks = std::min(arrival.m_blocks, cached + aPlacement.m_importBlocks);
      store.Touch(arrival.m_context, m_now);
    }
    const std::uint32_t known = std::max(cached, job.m_importedBlocks);
    job.m_expectedSeconds = TokensToCompute(arrival, known) / m_options.m_tokensPerSecond;
    m_outstandingRequests[m_gate][aPlacement.m_worker].push_back(
      { m_now, job.m_expectedSeconds, aIndex });
    m_gateOf[aIndex] = m_gate;
    worker.m_waiting.push_back(job);
    m_events.push({ std::max(m_now, job.m_readyAt), aPlacement.m_worker });
  }

  [[nodiscard]] double TokensToCompute(const Arrival& aArrival, std::uint32_t aKnownBlocks) const
  {
    return (aArrival.m_blocks - aKnownBlocks) * static_cast<double>(m_options.m_tokensPerBlock) +
           aArrival.m_suffixTokens;
  }

  void RunEventsUntil(double aUntil)
  {
    while (!m_events.empty() && m_events.top().m_at <= aUntil) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      WorkerModel& worker = m_workers[event.m_worker];
      if (worker.m_busy && worker.m_busyUntil <= m_now) {
        FinishJob(event.m_worker);
      }
      StartJob(event.m_worker);
    }
  }

  void StartJob(std::size_t aWorker)
  {
    WorkerModel& worker = m_workers[aWorker];
    if (worker.m_busy || worker.m_blockedUntil > m_now) {
      return;
    }
    auto next = worker.m_waiting.end();
    for (auto job = worker.m_waiting.begin(); job != worker.m_waiting.end(); ++job) {
      const bool earlier = next == worker.m_waiting.end() || job->m_arrivedAt < next->m_arrivedAt;
      if (job->m_readyAt <= m_now && earlier) {
        next = job;
      }
    }
    if (next == worker.m_waiting.end()) {
      return;
    }
    m_runningJobs[aWorker] = *next;
    worker.m_waiting.erase(next);
    const Job& job = m_runningJobs[aWorker];
    const Arrival& arrival = m_trace[job.m_index];
    const std::uint32_t known =
      std::max(worker.m_cache.Blocks(arrival.m_context), job.m_importedBlocks);
    CountRecomputedBlocks(arrival, known);
    worker.m_busy = true;
    worker.m_busyUntil =
      m_now + TokensToCompute(arrival, known) / m_options.m_tokensPerSecond * worker.m_slowness;
    m_events.push({ worker.m_busyUntil, aWorker });
  }

  void CountRecomputedBlocks(const Arrival& aArrival, std::uint32_t aKnown)
  {
    if (!m_computedContexts.insert(aArrival.m_context).second) {
      m_returnBlocks += aArrival.m_blocks;
      m_recomputedBlocks += aArrival.m_blocks - aKnown;
    }
  }

  void FinishJob(std::size_t aWorker)
  {
    WorkerModel& worker = m_workers[aWorker];
    const Job job = m_runningJobs[aWorker];
    const Arrival& arrival = m_trace[job.m_index];
    worker.m_busy = false;
    m_outcome.m_timesToFirstToken[job.m_index] = m_now - arrival.m_at;
    worker.m_cache.Put(arrival.m_context, arrival.m_blocks);
    auto& requests = m_outstandingRequests[m_gateOf[job.m_index]][aWorker];
    std::erase_if(requests, [&](const OutstandingRequest& aRequest) {
      return aRequest.m_index == job.m_index;
    });
    Export(arrival);
  }

  void Export(const Arrival& aArrival)
  {
    StoreModel& store = m_stores[aArrival.m_context % m_stores.size()];
    store.AdvanceExports(m_now);
    const bool kept =
      store.Blocks(aArrival.m_context) >= aArrival.m_blocks || store.IsQueued(aArrival.m_context);
    if (kept || !store.IsWorthExporting(aArrival.m_account, aArrival.m_blocks, m_now)) {
      return;
    }
    if (m_options.m_exportsYieldToImports) {
      store.QueueExport(aArrival.m_context, aArrival.m_account, aArrival.m_blocks, m_now);
    } else {
      store.ScheduleTransfer(
        aArrival.m_blocks * m_options.m_bytesPerBlock, store.BytesPerSecond(0), m_now);
      store.Store(aArrival.m_context, aArrival.m_account, aArrival.m_blocks, m_now);
    }
  }

  Outcome Finish()
  {
    std::sort(m_outcome.m_timesToFirstToken.begin(), m_outcome.m_timesToFirstToken.end());
    m_outcome.m_recomputedShare = m_returnBlocks > 0 ? m_recomputedBlocks / m_returnBlocks : 0;
    for (const StoreModel& store : m_stores) {
      m_outcome.m_linkBytes += store.BytesTransferred();
      m_outcome.m_linkUse += store.BusySeconds() / m_seconds / static_cast<double>(m_stores.size());
    }
    return std::move(m_outcome);
  }

  struct RecentContext
  {
    std::uint32_t m_context;
    std::uint32_t m_account;
    double m_at;
  };
  static constexpr double kForgetAfterSeconds = 600;

  const std::vector<Arrival>& m_trace;
  ModelOptions m_options;
  std::mt19937_64 m_random;
  std::vector<routing::ReturnHistogram> m_returnHistograms;
  std::vector<WorkerModel> m_workers;
  std::vector<StoreModel> m_stores;
  std::vector<std::vector<std::deque<OutstandingRequest>>> m_outstandingRequests;
  std::vector<std::string> m_names;
  std::vector<Report> m_reports;
  std::deque<std::vector<Report>> m_history;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::unordered_map<std::size_t, Job> m_runningJobs;
  std::unordered_map<std::size_t, std::size_t> m_gateOf;
  std::unordered_map<std::uint32_t, double> m_lastSeen;
  std::deque<RecentContext> m_recentContexts;
  std::set<std::uint32_t> m_computedContexts;
  Outcome m_outcome;
  double m_recomputedBlocks = 0;
  double m_returnBlocks = 0;
  double m_now = 0;
  double m_seconds = 1;
  double m_lastTick = -1;
  double m_nextFaultAt = 0;
  std::size_t m_nextSwappingWorker = 0;
  std::size_t m_gate = 0;
  bool m_faultInjected = false;
};

} // namespace ferrytray::experiment
