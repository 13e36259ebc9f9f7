#include "ferrytray/relay/slot_client.hpp"

#include <algorithm> // for all_of, max
#include <memory>    // for unique_ptr

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "tests/support/exchange_fixture.hpp"    // for FakeFormat, MakeEndpoint
#include "tests/support/memory_record_log.hpp"   // for MemoryRecordLog

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 6;
constexpr auto kRequestTime = 30ms;

/// A host that wants to send to the endpoint all the time, connected to the others over loopback.
struct SlotHost
{
  SlotHost(net::Loop& aLoop,
           net::HttpClient& aClient,
           store::RecordLog& aLog,
           const std::string& aName)
    : m_loop(aLoop)
    , m_core(aLoop, aClient, m_format, {})
    , m_exchange(aLoop,
                 aClient,
                 aLog,
                 { m_core.m_stores,
                   m_core.m_peerLoads,
                   m_core.m_reloads,
                   m_core.m_crashes,
                   m_core.m_endpointLimits,
                   m_core.m_announcedLeaving,
                   m_core.m_reportedBackoffs,
                   m_core.m_brittleServices },
                 OptionsOf(aName))
    , m_slots(m_core, m_exchange)
  {
    m_exchange.SetOwnLoadsProvider([] { return peers::EndpointLoads{}; });
    CHECK(m_exchange.Start().has_value());
  }

  static peers::PeerExchangeOptions OptionsOf(const std::string& aName)
  {
    peers::PeerExchangeOptions options;
    options.m_listen = { "127.0.0.1", 0 };
    options.m_name = aName;
    options.m_zone = "z";
    options.m_topic = "hosts";
    options.m_pollInterval = 50ms;
    options.m_firstHostsReadDelay = 20ms;
    options.m_requestTimeout = 2s; // all hosts share the test's loop, which may be slow
    options.m_permitTimeout = 500ms;
    return options;
  }

  /// Asks for a slot unless a request waits for one or a denial applies.
  void Send(const fleet::Endpoint& aEndpoint, std::uint32_t& aOpen, std::uint32_t& aServed)
  {
    const limits::EndpointKey key = peers::KeyOf(aEndpoint.m_incarnation);
    if (m_asks || m_core.m_slotDenials.DeniedUntil(key, base::MonotonicNow())) {
      return;
    }
    m_asks = true;
    m_slots.Request(aEndpoint,
                    [this, &aOpen, &aServed, id = aEndpoint.m_incarnation](bool aGranted) {
                      m_asks = false;
                      if (aGranted) {
                        ++aOpen;
                        m_core.m_endpointTracker.OnSent(id, 1);
                        m_timers.push_back(m_loop.After(kRequestTime, [this, &aOpen, &aServed, id] {
                          --aOpen;
                          ++aServed;
                          m_core.m_endpointTracker.OnEnded(id, 1);
                          m_slots.OnEnded(id, false);
                        }));
                      }
                    });
  }

  net::Loop& m_loop;
  support::FakeFormat m_format;
  relay::RelayCore m_core;
  peers::PeerExchange m_exchange;
  relay::SlotClient m_slots;
  std::vector<net::TimerHandle> m_timers;
  bool m_asks = false;
};

} // namespace

TEST_GROUP(SlotClient)
{
  net::Loop m_loop;
  std::unique_ptr<net::HttpClient> m_client = net::HttpClient::Create(m_loop);
  support::MemoryRecordLog m_log;
  std::vector<std::unique_ptr<SlotHost>> m_hosts;
  fleet::Endpoint m_endpoint = support::MakeEndpoint("e");
  std::uint32_t m_open = 0;
  std::uint32_t m_peak = 0;
  std::uint32_t m_served = 0;

  void teardown() override
  {
    for (const auto& host : m_hosts) {
      if (host) {
        host->m_exchange.Stop();
      }
    }
    m_client.reset();
  }
  void StartHosts(int aCount)
  {
    m_endpoint.m_zone = "z";
    m_endpoint.m_slots = kSlots;
    for (int i = 0; i < aCount; ++i) {
      m_hosts.push_back(
        std::make_unique<SlotHost>(m_loop, *m_client, m_log, "h" + std::to_string(i)));
    }
    const auto allKnown = [this] {
      return std::all_of(m_hosts.begin(), m_hosts.end(), [this](const auto& aHost) {
        return aHost->m_exchange.HostsKnown() && aHost->m_exchange.HostCount() == m_hosts.size();
      });
    };
    for (int i = 0; i < 1000 && !allKnown(); ++i) {
      m_loop.RunFor(5ms);
    }
    CHECK(allKnown());
  }
  void Run(base::Duration aSpan)
  {
    const base::TimePoint end = base::MonotonicNow() + aSpan;
    while (base::MonotonicNow() < end) {
      for (const auto& host : m_hosts) {
        if (host) {
          host->Send(m_endpoint, m_open, m_served);
        }
      }
      m_loop.RunFor(2ms);
      m_peak = std::max(m_peak, m_open);
    }
  }
};

TEST(SlotClient, HostsTogetherUseTheSlotsAndNoMore)
{
  StartHosts(5);
  Run(2s);
  CHECK(m_peak <= kSlots);
  const double possible = kSlots * 2.0 / base::Seconds(kRequestTime);
  CHECK(m_served >= 0.4 * possible); // the test's loop is slow; SlotIssuer's test is exact
}

TEST(SlotClient, AnotherHostIssuesSlotsIfTheIssuerIsGone)
{
  StartHosts(5);
  Run(1s);
  for (const auto& host : m_hosts) {
    const auto issuer =
      host->m_exchange.PermitIssuer(peers::KeyOf("e"), m_endpoint.m_zone, {}, base::MonotonicNow());
    if (issuer && host->m_exchange.IsSelf(*issuer)) {
      host->m_exchange.Leave(); // answers no more requests
    }
  }
  m_peak = 0;
  m_served = 0;
  Run(3s);
  CHECK(m_served > 0);
  CHECK(m_peak <= kSlots + kSlots / 2);
}
