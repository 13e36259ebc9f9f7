#pragma once

#include <functional>    // for function
#include <set>           // for set
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/limits/permit_issuer.hpp"  // for PermitIssuer
#include "ferrytray/peers/peer_exchange.hpp"   // for PeerExchange
#include "ferrytray/peers/permit_messages.hpp" // for PermitReply, PermitRequest
#include "ferrytray/relay/relay_core.hpp"      // for RelayCore

namespace ferrytray::relay {

struct PermitOptions
{
  /// Fraction of the limit that a host grants if another one would issue the permits but does not
  /// answer. Both may be granting, each to hosts that reach it: together they stay below the bound
  /// of one and a half times the limit.
  double m_backupShare = 0.4;
  /// The same of a host that has just started and does not know the other hosts yet. One that knows
  /// them but reaches none grants itself an equal share.
  double m_startupShare = 0.1;
  /// Hosts that are asked for the permit of one request, which waits for each of them up to
  /// PeerExchangeOptions::m_permitTimeout.
  std::uint32_t m_maxHostsAsked = 2;
  /// How long a host that did not answer is not asked again; doubles with each further failure.
  base::Duration m_backoffMin = std::chrono::milliseconds(1000);
  base::Duration m_backoffMax = std::chrono::milliseconds(8000);
  /// Validity of permits that are granted together.
  base::Duration m_permitLifetime = std::chrono::milliseconds(250);
};

/// @brief Obtains permits for limited endpoints from the host that issues them, and issues those of
/// which this host is in charge.
///
/// The issuer of an endpoint is a reader of its availability zone, chosen by a hash. Every host
/// computes the choice itself, without an election or a lease. While the issuer does not answer,
/// the next host in the same order issues permits at a lower rate; a host that reaches no other one
/// grants itself its share.
class PermitClient
{
public:
  using Done = std::function<void(bool aGranted)>;

  /// Keeps references to both. Registers the handler for requests of other hosts.
  PermitClient(RelayCore& aCore, peers::PeerExchange& aPeerExchange, PermitOptions aOptions = {});

  /// @brief Requests a permit for one request to a limited endpoint. A denial is recorded in the
  /// core's permit table.
  /// @param aDone called once, possibly before this function returns
  void Request(const fleet::Endpoint& aEndpoint, Done aDone);
  /// @brief Handles a request for permits, as the issuer.
  peers::PermitReply Issue(const peers::PermitRequest& aRequest);
  /// @brief Drops what is out of date.
  void Expire(base::TimePoint aNow);

private:
  /// A request for a permit until a host has replied.
  struct PendingRequest
  {
    peers::PermitRequest m_request;
    std::string m_incarnation; ///< of the endpoint, for the log
    std::uint32_t m_hostsAsked = 0;
    Done m_done;
  };
  struct Backoff
  {
    base::TimePoint m_until{};
    base::Duration m_delay{};
  };

  /// Asks the issuer, or the next host in the order if the ones before did not answer.
  void AskNextHost(PendingRequest aPending);
  void OnHostFailed(const std::string& aHost, base::TimePoint aNow);
  void OnReply(const PendingRequest& aPending, const peers::PermitReply& aReply);
  /// Fraction of an endpoint's limit that this host may grant.
  [[nodiscard]] double Share(limits::EndpointKey aEndpoint,
                             const std::string& aZone,
                             base::TimePoint aNow) const;
  [[nodiscard]] std::set<std::string> HostsInBackoff(base::TimePoint aNow) const;

  RelayCore& m_core;
  peers::PeerExchange& m_peerExchange;
  PermitOptions m_options;
  limits::PermitIssuer m_issuer;
  std::unordered_map<std::string, Backoff> m_backoffs; ///< by host
};

} // namespace ferrytray::relay
