#include "ferrytray/rollout/rollout_driver.hpp"

#include <functional> // for function
#include <optional>   // for optional
#include <utility>    // for pair
#include <vector>     // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

/// One topic whose conditional appends always answer at once.
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

  std::vector<std::string> m_records;
};

/// Engines that load at once, unless they are told to stay busy.
class FakeEngines final : public rollout::OrderSink
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

} // namespace

TEST_GROUP(RolloutDriver)
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
    m_options.m_tick = 1ms;
    m_options.m_spread = {};
    m_options.m_stateEvery = 1ms;
  }

  void AddEngine(const std::string& aName, fleet::WeightVersion aVersion)
  {
    fleet::Endpoint endpoint;
    endpoint.m_incarnation = aName;
    endpoint.m_service = "engines";
    endpoint.m_weights = { { "m", aVersion } };
    m_directory.Upsert(endpoint, base::MonotonicNow());
    m_engines.m_states[aName] = rollout::EngineState{ aVersion, false, 0 };
  }

  void RunFor(base::Duration aSpan)
  {
    rollout::RolloutDriver driver(m_loop, m_log, m_directory, m_engines, m_wanted, m_options);
    driver.Start();
    m_loop.RunFor(aSpan);
    driver.Stop();
  }

  void RunUntilOrders(std::size_t aCount)
  {
    rollout::RolloutDriver driver(m_loop, m_log, m_directory, m_engines, m_wanted, m_options);
    driver.Start();
    for (int i = 0; i < 2000 && m_engines.m_orders.size() < aCount; ++i) {
      m_loop.RunFor(5ms);
    }
    driver.Stop();
  }
};

TEST(RolloutDriver, WithNothingToDoNoLeaseIsTaken)
{
  AddEngine("e1", 2);
  m_wanted["m"] = 2;
  RunFor(30ms);
  CHECK(m_log.m_records.empty());
  CHECK(m_engines.m_orders.empty());
}

TEST(RolloutDriver, BringsEveryEngineToTheWantedWeightsOnce)
{
  for (const char* name : { "e1", "e2", "e3", "e4", "e5", "e6", "e7" }) {
    AddEngine(name, 1);
  }
  m_wanted["m"] = 2;
  RunUntilOrders(7);
  LONGS_EQUAL(7, m_engines.m_orders.size());
  for (const auto& [name, order] : m_engines.m_orders) {
    LONGS_EQUAL(2, order.m_version);
    LONGS_EQUAL(0, order.m_expectedOrders);
    LONGS_EQUAL(2, m_directory.Find(name)->m_provenWeights.at("m"));
  }
}

TEST(RolloutDriver, TheOldestWeightsGoFirst)
{
  AddEngine("e1", 2);
  AddEngine("e2", 1);
  m_wanted["m"] = 3;
  RunUntilOrders(1);
  STRCMP_EQUAL("e2", m_engines.m_orders.front().first.c_str());
}

TEST(RolloutDriver, AReportOlderThanTheProofOfNewWeightsKeepsNobodyWaiting)
{
  for (const char* name : { "e1", "e2" }) {
    AddEngine(name, 1);
  }
  m_wanted["m"] = 2;
  m_engines.m_staysBusy = true;
  rollout::RolloutDriver driver(m_loop, m_log, m_directory, m_engines, m_wanted, m_options);
  driver.Start();
  for (int i = 0; i < 2000 && m_engines.m_orders.empty(); ++i) {
    m_loop.RunFor(5ms);
  }
  m_loop.RunFor(50ms); // it is seen to be busy
  LONGS_EQUAL(1, m_engines.m_orders.size());
  m_directory.NoteWeights(m_engines.m_orders[0].first, "m", 2); // a reply proves it
  for (int i = 0; i < 400 && m_engines.m_orders.size() < 2; ++i) {
    m_loop.RunFor(5ms);
  }
  LONGS_EQUAL(2, m_engines.m_orders.size());
  driver.Stop();
}

TEST(RolloutDriver, WhileAnotherHoldsTheLeaseNothingIsOrdered)
{
  AddEngine("e1", 1);
  m_wanted["m"] = 2;
  m_log.m_records = { "b" };
  RunFor(60ms);
  LONGS_EQUAL(1, m_log.m_records.size());
  CHECK(m_engines.m_orders.empty());
}

TEST(RolloutDriver, ALeavingEngineIsLeftAlone)
{
  AddEngine("e1", 1);
  fleet::Endpoint leaving = *m_directory.Find("e1");
  leaving.m_leaving = true;
  m_directory.Upsert(leaving, base::MonotonicNow());
  m_wanted["m"] = 2;
  RunFor(30ms);
  CHECK(m_engines.m_orders.empty());
}

TEST(RolloutDriver, OnStandbyItBeginsOnlyWhenTheOrdersAreLate)
{
  AddEngine("e1", 1);
  m_wanted["m"] = 2;
  m_options.m_due = 400ms;
  m_options.m_standbyAfter = 0.5;
  rollout::RolloutDriver driver(m_loop, m_log, m_directory, m_engines, m_wanted, m_options);
  driver.SetStandby(true);
  const base::TimePoint start = base::MonotonicNow();
  driver.Start();
  for (int i = 0; i < 2000 && m_engines.m_orders.empty(); ++i) {
    m_loop.RunFor(1ms);
  }
  driver.Stop();
  CHECK_FALSE(m_engines.m_orders.empty());
  CHECK(base::MonotonicNow() - start >= 200ms);
}
