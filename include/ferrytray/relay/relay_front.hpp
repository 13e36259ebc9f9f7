#pragma once

#include <memory> // for shared_ptr

#include "ferrytray/base/error.hpp"        // for Result
#include "ferrytray/net/http_server.hpp"   // for HttpRequest, HttpReply
#include "ferrytray/relay/relay_core.hpp"  // for RelayCore
#include "ferrytray/relay/route_match.hpp" // for RouteMatch

namespace ferrytray::relay {

/// @brief Accepts callers' requests: matches route and account, then starts an exchange.
class RelayFront
{
public:
  explicit RelayFront(RelayCore& aCore)
    : m_core(aCore)
  {
  }

  void Handle(net::HttpRequest aRequest, std::shared_ptr<net::HttpReply> aReply);

private:
  /// Checks the request against the size limits of the configuration in force.
  [[nodiscard]] base::Result<void> CheckLimits(const net::HttpRequest& aRequest) const;
  [[nodiscard]] base::Result<RouteMatch> MatchRoute(const CallerRequest& aRequest) const;
  void Refuse(const std::string& aRequestId,
              const base::Failure& aFailure,
              const std::shared_ptr<net::HttpReply>& aReply);

  RelayCore& m_core;
};

} // namespace ferrytray::relay
