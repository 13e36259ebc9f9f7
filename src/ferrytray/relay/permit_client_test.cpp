#include "ferrytray/relay/permit_client.hpp"

#include <algorithm> // for max
#include <memory>    // for unique_ptr
#include <vector>    // for vector

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "tests/support/exchange_fixture.hpp"    // for FakeFormat, MakeEndpoint
#include "tests/support/memory_record_log.hpp"   // for MemoryRecordLog

#include <CppUTest/TestHarness.h> // for TEST
#include <CppUTest/Utest.h>       // for Utest

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

constexpr double kLimit = 10; // requests per second

/// A host with its own knowledge of limits, connected to the others over loopback.
struct PermitHost
{
  PermitHost(net::Loop& aLoop,
             net::HttpClient& aClient,
             store::RecordLog& aLog,
             const std::string& aName,
             const std::string& aZone)
    : m_core(aLoop, aClient, m_format, {})
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
                 OptionsOf(aName, aZone))
    , m_permits(m_core, m_exchange)
  {
    m_exchange.SetOwnLoadsProvider([] { return peers::EndpointLoads{}; });
    CHECK(m_exchange.Start().has_value());
  }

  static peers::PeerExchangeOptions OptionsOf(const std::string& aName, const std::string& aZone)
  {
    peers::PeerExchangeOptions options;
    options.m_listen = { "127.0.0.1", 0 };
    options.m_name = aName;
    options.m_zone = aZone;
    options.m_topic = "hosts";
    options.m_pollInterval = 50ms;
    options.m_firstHostsReadDelay = 20ms;
    options.m_requestTimeout = 2s; // all hosts share the test's loop, which may be slow
    options.m_permitTimeout = 2s;
    return options;
  }

  /// Sends a request to the endpoint if it gets a permit.
  void Send(const fleet::Endpoint& aEndpoint, std::vector<base::TimePoint>& aSent)
  {
    const limits::EndpointKey key = peers::KeyOf(aEndpoint.m_incarnation);
    const base::TimePoint now = base::MonotonicNow();
    if (m_core.m_permits.TryTake(key, now)) {
      aSent.push_back(now);
    } else if (!m_core.m_permits.DeniedUntil(key, now)) {
      m_permits.Request(aEndpoint, [&aSent](bool aGranted) {
        if (aGranted) {
          aSent.push_back(base::MonotonicNow());
        }
      });
    }
  }

  support::FakeFormat m_format;
  relay::RelayCore m_core;
  peers::PeerExchange m_exchange;
  relay::PermitClient m_permits;
};

} // namespace

TEST_GROUP(PermitClient)
{
  net::Loop m_loop;
  std::unique_ptr<net::HttpClient> m_client = net::HttpClient::Create(m_loop);
  support::MemoryRecordLog m_log;
  std::vector<std::unique_ptr<PermitHost>> m_hosts;
  fleet::Endpoint m_endpoint = support::MakeEndpoint("e");
  std::vector<base::TimePoint> m_sent;

  void teardown() override
  {
    for (const auto& host : m_hosts) {
      host->m_exchange.Stop();
    }
    m_client.reset();
  }

  void StartHosts(int aCount)
  {
    m_endpoint.m_zone = "z";
    for (int i = 0; i < aCount; ++i) {
      m_hosts.push_back(std::make_unique<PermitHost>(
        m_loop, *m_client, m_log, "h" + std::to_string(i), i % 2 == 0 ? "z" : "y"));
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
    const base::TimePoint now = base::MonotonicNow();
    for (const auto& host : m_hosts) {
      host->m_core.m_endpointLimits.OnAnswer(peers::KeyOf("e"), kLimit, now, now);
    }
  }

  /// Every host wants to send every few milliseconds.
  void Run(base::Duration aSpan)
  {
    const base::TimePoint end = base::MonotonicNow() + aSpan;
    while (base::MonotonicNow() < end) {
      for (const auto& host : m_hosts) {
        if (host) {
          host->Send(m_endpoint, m_sent);
        }
      }
      m_loop.RunFor(5ms);
    }
  }
  PermitHost* FirstIssuer()
  {
    for (const auto& host : m_hosts) {
      if (host->m_exchange.IsFirstPermitIssuer(peers::KeyOf("e"), "z")) {
        return host.get();
      }
    }
    return nullptr;
  }
};

TEST(PermitClient, HostsShareTheLimit)
{
  StartHosts(5);
  const base::TimePoint start = base::MonotonicNow();
  Run(2s);
  const double passed = base::Seconds(base::MonotonicNow() - start);
  const auto sent = static_cast<double>(m_sent.size());
  CHECK(sent <= kLimit * passed + 2);
  CHECK(sent >= 0.8 * kLimit * passed - 2);
}

TEST(PermitClient, AnotherHostIssuesWhenTheIssuerStops)
{
  StartHosts(5);
  Run(500ms);
  PermitHost* issuer = FirstIssuer();
  CHECK(issuer != nullptr);
  issuer->m_exchange.Leave();
  Run(300ms); // until the hosts have noticed
  m_sent.clear();
  const base::TimePoint start = base::MonotonicNow();
  Run(2s);
  const double passed = base::Seconds(base::MonotonicNow() - start);
  const auto sent = static_cast<double>(m_sent.size());
  // Its share, 0.4 of the limit, and the two requests of its token bucket.
  CHECK(sent >= 0.3 * kLimit * passed);
  CHECK(sent <= 0.4 * kLimit * passed + 3);
}

TEST(PermitClient, HostThatKnowsNoOtherYetUsesASmallShare)
{
  PermitHost host(m_loop, *m_client, m_log, "single", "z");
  const base::TimePoint now = base::MonotonicNow();
  host.m_core.m_endpointLimits.OnAnswer(peers::KeyOf("e"), kLimit, now, now);
  const limits::LimitReport report{ peers::KeyOf("e"), kLimit, 0, false };
  std::uint32_t granted = 0;
  for (int i = 0; i < 100; ++i) {
    granted += host.m_permits.Issue({ "z", report }).m_granted;
  }
  LONGS_EQUAL(1, granted);
  CHECK(host.m_permits.Issue({ "z", report }).m_retryAfterMillis >= 500);
  host.m_exchange.Stop();
}

TEST(PermitClient, IssuerUsesTheLatestReport)
{
  StartHosts(2);
  PermitHost* issuer = FirstIssuer();
  const limits::EndpointKey key = peers::KeyOf("e");
  const base::TimePoint now = base::MonotonicNow();
  issuer->m_core.m_endpointLimits.OnAnswer(key, 1, now, now);
  // The requesting host knows an older, higher limit.
  const peers::PermitReply reply = [&] {
    peers::PermitReply last;
    for (int i = 0; i < 5; ++i) {
      last = issuer->m_permits.Issue({ "z", { key, kLimit, 900, false } });
    }
    return last;
  }();
  LONGS_EQUAL(0, reply.m_granted);
  CHECK(reply.m_retryAfterMillis >= 500);
}
