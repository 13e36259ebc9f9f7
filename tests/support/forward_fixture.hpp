#pragma once

#include <memory> // for make_shared
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/relay/forward_messages.hpp" // for DecodeForwardedRequest
#include "ferrytray/relay/forward_receiver.hpp" // for ForwardReceiver
#include "ferrytray/relay/forwarder.hpp"        // for Forwarder
#include "tests/support/exchange_fixture.hpp"   // for ExchangeFixture

namespace support {

/// A host with two endpoints and two other hosts, h2 in another zone and h3 in its own.
struct ForwardFixture : public ExchangeFixture
{
  std::vector<peers::Peer> m_hosts{ { "h2", "z2", "h2:9", 1 } };
  relay::Forwarder m_forwarder{ m_core, [this] { return m_hosts; }, "/forward" };
  relay::ForwardReceiver m_receiver{ m_core };

  void setup() override
  {
    ExchangeFixture::setup();
    m_method = "POST";
    m_core.m_options.m_zone = "z1";
    m_core.m_forwarder = &m_forwarder;
  }

  /// Makes this host see failed connects to all endpoints.
  void LoseEndpoints()
  {
    const base::TimePoint now = base::MonotonicNow();
    m_core.m_reachability.OnConnectFailed("a", "", { 2, 1 }, now);
    m_core.m_reachability.OnConnectFailed("b", "", { 2, 1 }, now);
  }
  [[nodiscard]] const net::ClientRequest& LastCall() const
  {
    return m_client.m_calls.back().m_request;
  }
  [[nodiscard]] bool LastCallIsForwarded() const
  {
    return LastCall().m_url.ends_with(":9/forward");
  }
  [[nodiscard]] relay::ForwardedRequest LastForwarded() const
  {
    return relay::DecodeForwardedRequest(LastCall().m_body).value(); // throws if malformed
  }
  /// The other host refuses the last call without an endpoint.
  /// @param aArrived an endpoint rejected it there
  void AnswerWithFailure(const base::Failure& aFailure, bool aDeclined, bool aArrived = false)
  {
    m_client.Head(503, relay::WriteForwardFailure({ aFailure, aDeclined, aArrived }));
    m_client.End(net::WireEnd::Complete);
  }
  /// The other host passes an endpoint's answer back.
  void AnswerThroughHost(int aStatus, const std::string& aBody)
  {
    m_client.Head(aStatus, relay::WriteForwardReply({}, "a"));
    m_client.Data(aBody);
    m_client.End(net::WireEnd::Complete);
  }
  /// Another host forwards a request to this one.
  std::shared_ptr<FakeReply> ReceiveForwarded(const relay::ForwardedRequest& aRequest)
  {
    net::HttpRequest call;
    call.m_body = Encode(aRequest);
    auto reply = std::make_shared<FakeReply>();
    m_receiver.Handle(call, reply);
    return reply;
  }
  static relay::ForwardedRequest MakeForwarded(bool aRepeatable = false)
  {
    relay::ForwardedRequest forwarded;
    forwarded.m_request.m_id = "r1";
    forwarded.m_request.m_method = "POST";
    forwarded.m_request.m_target = "/once/x?q=1";
    forwarded.m_request.m_path = "/once/x";
    forwarded.m_request.m_hostName = "h";
    forwarded.m_request.m_deadline = std::chrono::seconds(2);
    forwarded.m_request.m_body = "body";
    forwarded.m_route = MakeRoute("/once/", false, aRepeatable);
    forwarded.m_route.m_maxEndpoints = 1;
    forwarded.m_account = fleet::ClientAccount{ "lab", {}, true, 3 };
    forwarded.m_service = "s";
    return forwarded;
  }
};

} // namespace support
