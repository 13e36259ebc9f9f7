#pragma once

#include <optional> // for optional
#include <string>   // for string

#include "ferrytray/peers/peer_exchange.hpp"   // for PeerExchange
#include "tests/support/exchange_fixture.hpp"  // for ExchangeFixture
#include "tests/support/memory_record_log.hpp" // for MemoryRecordLog

#include <CppUTest/TestHarness.h> // for CHECK

namespace support {

/// An exchange fixture whose host knows other hosts. The test provides their replies.
struct PeerHostFixture : public ExchangeFixture
{
  MemoryRecordLog m_log;
  std::optional<peers::PeerExchange> m_peerExchange;

  void teardown() override { m_peerExchange->Stop(); }

  /// Registers another host, which has more capacity than this one usually has.
  void AddStrongHost()
  {
    m_log.AppendKeyed("hosts",
                      "strong",
                      peers::Encode(peers::Peer{ "strong", "z", "10.0.0.1:7", 5 }),
                      [](const auto&) {});
  }
  void StartPeerExchange(std::uint32_t aCapacity, std::size_t aReaders = 8)
  {
    peers::PeerExchangeOptions options;
    options.m_listen = { "127.0.0.1", 0 };
    options.m_name = "self";
    options.m_zone = "z";
    options.m_capacity = aCapacity;
    options.m_topic = "hosts";
    options.m_firstHostsReadDelay = 1ms;
    options.m_pollInterval = 1h; // no regular requests to other hosts
    options.m_roster.m_readers = aReaders;
    m_peerExchange.emplace(m_loop,
                           m_client,
                           m_log,
                           peers::SharedState{ m_core.m_stores,
                                               m_core.m_peerLoads,
                                               m_core.m_reloads,
                                               m_core.m_crashes,
                                               m_core.m_endpointLimits,
                                               m_core.m_announcedLeaving,
                                               m_core.m_reportedBackoffs,
                                               m_core.m_brittleServices },
                           options);
    m_peerExchange->SetOwnLoadsProvider([] { return peers::EndpointLoads{}; });
  }
  void AwaitHosts()
  {
    CHECK(m_peerExchange->Start().has_value());
    for (int i = 0; i < 1000 && !m_peerExchange->HostsKnown(); ++i) {
      m_loop.RunFor(1ms);
    }
    m_client.m_calls.clear();
  }
};

} // namespace support
