#pragma once

#include <functional> // for function
#include <memory>     // for unique_ptr, shared_ptr
#include <optional>   // for optional
#include <string>     // for string

#include "ferrytray/peers/peer_exchange.hpp"   // for PeerExchange
#include "tests/support/memory_record_log.hpp" // for MemoryRecordLog

#include <CppUTest/TestHarness.h> // for CHECK
#include <CppUTest/Utest.h>       // for Utest

namespace support {

using namespace ferrytray;
using namespace std::chrono_literals;

inline const cache::PartName kPart{ "m.1", "p" };
inline const std::string kStore = "s:1";

/// One host of the peer exchange, with its own copy of the log.
struct PeerHost
{
  PeerHost(net::Loop& aLoop,
           net::HttpClient& aClient,
           const std::string& aName,
           std::uint32_t aCapacity,
           const std::string& aZone = "z",
           std::size_t aReaders = 1)
    : m_exchange(aLoop, aClient, m_log, State(), OptionsOf(aName, aCapacity, aZone, aReaders))
  {
    m_stores.try_emplace(kStore, cache::StoreTraits{ 10'000 });
    m_exchange.OnReaderChange([this](bool aDirect) { m_isReader = aDirect; });
    m_exchange.SetOwnLoadsProvider([this] { return m_localLoads; });
  }

  static peers::PeerExchangeOptions OptionsOf(const std::string& aName,
                                              std::uint32_t aCapacity,
                                              const std::string& aZone,
                                              std::size_t aReaders)
  {
    peers::PeerExchangeOptions options;
    options.m_listen = { "127.0.0.1", 0 };
    options.m_name = aName;
    options.m_zone = aZone;
    options.m_capacity = aCapacity;
    options.m_topic = "hosts";
    options.m_roster.m_readers = aReaders;
    options.m_pollInterval = 5ms;
    options.m_firstHostsReadDelay = 5ms;
    options.m_hostsReadRetry = 5ms;
    options.m_registrationRetry = 5ms;
    options.m_requestTimeout = 2s; // both hosts share the test's loop, which may be slow
    return options;
  }

  peers::SharedState State()
  {
    return { m_stores, m_peerLoads,        m_reloads,  m_crashes,
             m_limits, m_announcedLeaving, m_backoffs, m_brittle };
  }
  bool MayFetch() { return m_stores.at(kStore).MayFetch(kPart, base::MonotonicNow()); }

  support::MemoryRecordLog m_log;
  cache::Stores m_stores;
  peers::LoadTable m_peerLoads;
  peers::ReloadTable m_reloads;
  quarantine::CrashTracker m_crashes;
  limits::EndpointLimits m_limits;
  limits::BrittleServices m_brittle;
  peers::IncarnationTable m_announcedLeaving;
  peers::BackoffTable m_backoffs;
  peers::EndpointLoads m_localLoads;
  bool m_isReader = false;
  peers::PeerExchange m_exchange;
};

/// Two hosts that exchange state: one that reads the topics and one that follows it.
struct PeerExchangeFixture : public Utest
{
  net::Loop m_loop;
  std::unique_ptr<net::HttpClient> m_client = net::HttpClient::Create(m_loop);
  std::unique_ptr<PeerHost> m_reader = std::make_unique<PeerHost>(m_loop, *m_client, "reader", 9);
  std::unique_ptr<PeerHost> m_follower =
    std::make_unique<PeerHost>(m_loop, *m_client, "follower", 1);

  void setup() override
  {
    CHECK(m_reader->m_exchange.Start().has_value());
    CHECK(m_follower->m_exchange.Start().has_value());
    // Both hosts are to see the same log, so each registration is copied to the other's fake.
    auto& one = m_reader->m_log.m_topics["hosts"];
    auto& other = m_follower->m_log.m_topics["hosts"];
    one.push_back(other.front());
    other.push_back(one.front());
    one.back().m_offset = other.back().m_offset = 1;
  }
  void teardown() override
  {
    for (const auto* host : { &m_reader, &m_follower }) {
      if (*host) {
        (*host)->m_exchange.Stop();
      }
    }
    m_client.reset();
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    for (int i = 0; i < 6000 && !aCondition(); ++i) {
      m_loop.RunFor(5ms);
    }
    return aCondition();
  }

  std::shared_ptr<store::TopicFollower> AddFollowerTo(peers::PeerExchange& aExchange,
                                                      store::RecordLog& aLog,
                                                      std::string& aReceivedKeys,
                                                      const char* aTopic = "t")
  {
    store::FollowOptions options;
    options.m_topic = aTopic;
    options.m_pause = 5ms;
    options.m_maxUpdateAge = 20s;
    store::FollowEvents events;
    events.m_onRecord = [&aReceivedKeys](const store::Record& aRecord) {
      aReceivedKeys += aRecord.m_key;
      return true;
    };
    auto topic = std::make_shared<store::TopicFollower>(m_loop, aLog, options, std::move(events));
    aExchange.AddTopic(topic);
    return topic;
  }
  std::shared_ptr<store::TopicFollower> AddFollower(PeerHost& aHost, std::string& aReceivedKeys)
  {
    return AddFollowerTo(aHost.m_exchange, aHost.m_log, aReceivedKeys);
  }

  /// Sends a request to the reader as another host would.
  peers::SyncReply SendToReader(peers::SyncRequest aRequest)
  {
    const auto reader = peers::DecodePeer(m_reader->m_log.m_topics["hosts"].front().m_value);
    aRequest.m_sender = { "asker", "z", "127.0.0.1:1", 1 };
    net::ClientRequest request;
    request.m_method = "POST";
    request.m_url = "http://" + reader->m_address + "/news";
    request.m_body = peers::Encode(aRequest);
    std::optional<peers::SyncReply> reply;
    m_client->Fetch(std::move(request), [&](const net::ClientOutcome&, const std::string& aBody) {
      reply = peers::DecodeSyncReply(aBody).value_or(peers::SyncReply{});
    });
    CHECK(RunUntil([&] { return reply.has_value(); }));
    return reply.value_or(peers::SyncReply{});
  }

  void UpdateReaderStore(std::uint64_t aEpoch, bool aAdded)
  {
    cache::StoreEvents news;
    news.m_epoch = aEpoch;
    news.m_clockMillis = 1000;
    news.m_changes = { { kPart, 400, aAdded } };
    const base::TimePoint now = base::MonotonicNow();
    m_reader->m_stores.at(kStore).OnEvents(news, false, now, now);
  }
};

} // namespace support
