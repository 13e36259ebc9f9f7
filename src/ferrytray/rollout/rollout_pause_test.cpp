// Hosts that reach no engine, and leave the orders to another host.
#include "tests/support/rollout_fixture.hpp" // for RolloutFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP_BASE(RolloutPause, support::RolloutFixture){};

// A host that reached no engine kept the lease and sent orders that none received.
TEST(RolloutPause, PausedHostLeavesOrdersToAnotherOne)
{
  for (const char* name : { "e1", "e2", "e3", "e4" }) {
    AddEngine(name, 1);
  }
  m_wanted["m"] = 2;
  m_engines.m_staysBusy = true;
  m_options.m_lease.m_handoverGap = 20ms;
  rollout::RolloutDriver driver(m_loop, m_log, m_directory, m_engines, m_wanted, m_options);
  driver.Start();
  for (int i = 0; i < 2000 && m_engines.m_orders.empty(); ++i) {
    m_loop.RunFor(1ms);
  }
  driver.SetPaused(true);
  const std::size_t orders = m_engines.m_orders.size();
  const std::size_t records = m_log.m_records.size();
  m_engines.m_staysBusy = false;
  for (auto& [name, state] : m_engines.m_states) {
    state->m_busy = false;
  }
  m_loop.RunFor(m_options.m_lease.m_duration + 500ms); // past the end of the lease
  LONGS_EQUAL(orders, m_engines.m_orders.size());
  LONGS_EQUAL(records, m_log.m_records.size()); // the lease is not renewed
  driver.SetPaused(false);
  for (int i = 0; i < 8000 && m_engines.m_orders.size() == orders; ++i) {
    m_loop.RunFor(1ms);
  }
  CHECK(m_engines.m_orders.size() > orders);
  driver.Stop();
}
