#pragma once

#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/error.hpp"           // for Failure, Result
#include "ferrytray/fleet/configuration.hpp"  // for ClientAccount, Route
#include "ferrytray/net/http_server.hpp"      // for Headers
#include "ferrytray/relay/caller_request.hpp" // for CallerRequest

namespace ferrytray::relay {

/// @brief A caller's request that one host passes on to another one, which sends it to an endpoint.
///
/// The forwarding host has authenticated the caller and chosen route, account and service by its
/// own configuration; the other host uses these, even if its configuration differs.
struct ForwardedRequest
{
  /// Its deadline is the time left. It has no API key.
  CallerRequest m_request;
  fleet::Route m_route; ///< limits the request to one endpoint, since the forwarding host retries
  std::optional<fleet::ClientAccount> m_account; ///< without its keys; none on routes without one
  std::string m_service;
  std::set<std::string> m_excluded; ///< incarnations of endpoints that were tried before
};

/// @brief Encodes the body of the call to the other host.
std::string Encode(const ForwardedRequest& aRequest);
/// @return PeerMalformed if the bytes are not such a message, or if a header, the method or the
/// target would break the request to the endpoint
base::Result<ForwardedRequest> DecodeForwardedRequest(std::string_view aBytes);

/// @brief A failure that the other host generated itself.
struct ForwardFailure
{
  base::Failure m_failure; ///< without its message
  /// The host did not try, and a different host may be able to.
  bool m_declined = false;
  /// An endpoint may have received the request, even if it rejected it.
  bool m_arrived = false;
};

/// @brief Contents of the headers between hosts in the reply to a forwarded request.
struct ForwardReply
{
  std::string m_endpoint;                  ///< incarnation that replied; empty: none
  std::optional<ForwardFailure> m_failure; ///< the host generated the reply itself
};

/// @brief Headers of a reply that the host generated itself.
[[nodiscard]] net::Headers WriteForwardFailure(const ForwardFailure& aFailure);
/// @brief Headers of an endpoint's reply that is passed back, without those reserved for hosts.
[[nodiscard]] net::Headers WriteForwardReply(const net::Headers& aHeaders,
                                             const std::string& aEndpoint);
/// @brief Takes the headers between hosts out of a reply. A reply without any of them comes from a
/// host that does not know this kind of call, so it counts as declined.
[[nodiscard]] ForwardReply TakeForwardReply(net::Headers& aHeaders);

} // namespace ferrytray::relay
