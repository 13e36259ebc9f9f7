#pragma once

#include <optional> // for optional
#include <string>   // for string

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/relay/permit_client.hpp"     // for PermitClient
#include "ferrytray/relay/prompt_dispatcher.hpp" // for PromptDispatcher
#include "tests/support/peer_host_fixture.hpp"   // for PeerHostFixture

namespace support {

/// A host whose requests wait for another host before they are sent: for its choice of an engine or
/// for its permit. The test provides the replies.
struct SendPathFixture : public PeerHostFixture
{
  std::optional<relay::PromptDispatcher> m_dispatcher;
  std::optional<relay::PermitClient> m_permitClient;

  void setup() override
  {
    PeerHostFixture::setup();
    StartPeerExchange(9);
  }

  /// Makes another host choose the engines of long prompts.
  void UseRemoteDispatcher()
  {
    AddStrongHost();
    StartPeerExchange(0);
    m_dispatcher.emplace(m_core, *m_peerExchange);
    AwaitHosts();
    m_core.m_dispatcher = &*m_dispatcher;
  }
  void AssignEngine(const char* aEngine)
  {
    m_client.Head(200, {});
    m_client.Data(peers::Encode(peers::PlacementReply{ aEngine, "", true, false }));
    m_client.End(net::WireEnd::Complete);
  }

  /// Sends a request that waits for a permit for the only endpoint, a.
  std::shared_ptr<FakeReply> SendRequestThatNeedsPermit()
  {
    AddStrongHost();
    StartPeerExchange(0, 1);
    m_permitClient.emplace(m_core, *m_peerExchange);
    AwaitHosts();
    m_core.m_permitClient = &*m_permitClient;
    const base::TimePoint now = base::MonotonicNow();
    m_core.m_endpointLimits.OnAnswer(peers::KeyOf("a"), 2.5, now, now);
    m_core.m_directory.MarkGone("b");
    return SendRequest("/once/x");
  }
  void GrantPermit()
  {
    m_client.Head(200, {});
    m_client.Data(peers::Encode(peers::PermitReply{ 1, false, 0 }));
    m_client.End(net::WireEnd::Complete);
  }
};

} // namespace support
