#pragma once

#include <algorithm>  // for all_of
#include <functional> // for function
#include <map>        // for map
#include <optional>   // for optional
#include <string>     // for string
#include <utility>    // for pair
#include <vector>     // for vector

#include "ferrytray/rollout/rollout_driver.hpp" // for RolloutDriver

#include <CppUTest/Utest.h> // for Utest

namespace support {

using namespace ferrytray;
using namespace std::chrono_literals;

/// A log with one topic whose calls complete immediately.
class FakeLog final : public store::RecordLog
{
public:
  void ReadSnapshot(const std::string&, store::Done<store::Snapshot>) override {}
  void Read(const std::string&,
            store::Offset aFrom,
            base::Duration,
            base::Duration,
            store::Done<store::Batch> aDone) override
  {
    ++m_reads;
    store::Batch batch;
    batch.m_end = m_records.size();
    for (store::Offset i = aFrom; i < m_records.size(); ++i) {
      batch.m_records.push_back({ i, "", m_records[i], false });
    }
    aDone(std::move(batch));
  }
  void Append(const std::string&,
              std::string_view aRecord,
              store::Offset aExpectedEnd,
              store::Done<store::AppendResult> aDone) override
  {
    if (aExpectedEnd != m_records.size()) {
      aDone(store::AppendResult{ false, 0, m_records.size() });
      return;
    }
    m_records.emplace_back(aRecord);
    aDone(store::AppendResult{ true, m_records.size() - 1, m_records.size() });
  }
  void AppendKeyed(const std::string&,
                   std::string_view,
                   std::string_view,
                   store::Done<store::AppendResult>) override
  {
  }
  void AppendKeyedAt(const std::string&,
                     std::string_view,
                     std::string_view,
                     store::Offset,
                     store::Done<store::AppendResult>) override
  {
  }

  std::size_t m_reads = 0;
  std::vector<std::string> m_records;
};

/// Engines that load immediately unless m_staysBusy is set.
class FakeEngines final : public rollout::EngineClient
{
public:
  void ReadState(const fleet::Endpoint& aEngine,
                 const std::string&,
                 std::function<void(std::optional<rollout::EngineState>)> aDone) override
  {
    aDone(m_states[aEngine.m_incarnation]);
  }
  void Send(const fleet::Endpoint& aEngine,
            const rollout::WeightOrder& aOrder,
            std::function<void(rollout::OrderReply)> aDone) override
  {
    m_orders.emplace_back(aEngine.m_incarnation, aOrder);
    rollout::EngineState& state = *m_states[aEngine.m_incarnation];
    ++state.m_ordersTaken;
    state.m_busy = m_staysBusy;
    state.m_weights = m_staysBusy ? state.m_weights : aOrder.m_version;
    aDone(rollout::OrderReply::Accepted);
  }

  bool m_staysBusy = false;
  std::map<std::string, std::optional<rollout::EngineState>> m_states;
  std::vector<std::pair<std::string, rollout::WeightOrder>> m_orders;
};

/// Engines and a log for a driver that the test starts.
struct RolloutFixture : public Utest
{
  net::Loop m_loop;
  FakeLog m_log;
  fleet::Directory m_directory;
  FakeEngines m_engines;
  std::map<std::string, fleet::WeightVersion> m_wanted;
  rollout::RolloutOptions m_options;

  void setup() override
  {
    m_options.m_self = "a";
    m_options.m_tickInterval = 1ms;
    m_options.m_leaseJitter = {};
    m_options.m_statePollInterval = 1ms;
    m_options.m_expectedLoadTime = 1ms; // the fake engines load immediately
  }

  void AddEngine(const std::string& aName, fleet::WeightVersion aVersion)
  {
    fleet::Endpoint endpoint;
    endpoint.m_id = aName;
    endpoint.m_incarnation = aName;
    endpoint.m_service = "engines";
    endpoint.m_weights = { { "m", aVersion } };
    m_directory.Upsert(endpoint, base::MonotonicNow());
    m_engines.m_states[aName] = rollout::EngineState{ aVersion, false, 0 };
  }

  void RunFor(base::Duration aDuration)
  {
    rollout::RolloutDriver driver(m_loop, m_log, m_directory, m_engines, m_wanted, m_options);
    driver.Start();
    m_loop.RunFor(aDuration);
    driver.Stop();
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    rollout::RolloutDriver driver(m_loop, m_log, m_directory, m_engines, m_wanted, m_options);
    driver.Start();
    for (int i = 0; i < 2000 && !aCondition(); ++i) {
      m_loop.RunFor(5ms);
    }
    driver.Stop();
  }
  void RunUntilOrderCount(std::size_t aCount)
  {
    RunUntil([&] { return m_engines.m_orders.size() >= aCount; });
  }
  bool AllEnginesRun(fleet::WeightVersion aVersion) const
  {
    const std::vector<const fleet::Endpoint*> all = m_directory.All();
    return std::all_of(all.begin(), all.end(), [&](const fleet::Endpoint* aEngine) {
      return aEngine->m_provenWeights.at("m") == aVersion;
    });
  }
};

} // namespace support
