#pragma once

#include <functional> // for function
#include <string>     // for string

#include "ferrytray/keeper/config_sync.hpp"      // for ConfigSync
#include "ferrytray/keeper/endpoint_watch.hpp"   // for EndpointWatch
#include "ferrytray/membership/member_table.hpp" // for MemberTable
#include "ferrytray/net/http_client.hpp"         // for HttpClient
#include "ferrytray/net/http_server.hpp"         // for HttpRequest, HttpReply
#include "ferrytray/telemetry/metrics.hpp"       // for Metrics

namespace ferrytray::keeper {

/// @brief The parts of a keeper that the operator pages read and change.
struct OperatorView
{
  const std::string& m_host;
  const ConfigSync& m_config;
  EndpointWatch& m_endpoints;
  const net::HttpClient& m_http;
  telemetry::Metrics& m_metrics;
};

/// @brief Handles the HTTP requests of operators: health, readiness, metrics, status, and draining
/// an endpoint.
class OperatorPages
{
public:
  /// @param aOnDrainStarted called after an endpoint was marked as leaving
  OperatorPages(const OperatorView& aView, std::function<void()> aOnDrainStarted);
  void Handle(const net::HttpRequest& aRequest,
              net::HttpReply& aReply,
              const membership::MemberTable& aMembers);

private:
  [[nodiscard]] std::string Metrics(const membership::MemberTable& aMembers) const;
  [[nodiscard]] std::string Status(const membership::MemberTable& aMembers) const;
  void Drain(const net::HttpRequest& aRequest, net::HttpReply& aReply);

  OperatorView m_view;
  std::function<void()> m_onDrainStarted;
};

} // namespace ferrytray::keeper
