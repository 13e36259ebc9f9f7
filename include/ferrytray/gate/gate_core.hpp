#pragma once

#include <functional> // for function
#include <map>        // for map
#include <memory>     // for unique_ptr
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/gate/claim_log_client.hpp"  // for ClaimLogClient
#include "ferrytray/gate/context_tracker.hpp"   // for ContextTracker
#include "ferrytray/gate/crash_log_client.hpp"  // for CrashLogClient
#include "ferrytray/gate/decision_log.hpp"      // for DecisionLog
#include "ferrytray/gate/fleet_view.hpp"        // for FleetView
#include "ferrytray/gate/keeper_connection.hpp" // for KeeperConnection
#include "ferrytray/limits/account_limiter.hpp" // for AccountLimiter
#include "ferrytray/limits/retry_budget.hpp"    // for RetryBudget
#include "ferrytray/once/ticket_table.hpp"      // for TicketTable
#include "ferrytray/telemetry/metrics.hpp"      // for Metrics

namespace ferrytray::gate {

/// @brief State shared by all requests of a gate.
struct GateCore
{
  GateCore(net::Loop& aLoop, const GateOptions& aOptions);

  net::Loop& m_loop;
  GateOptions m_options;
  std::unique_ptr<net::HttpClient> m_http;
  FleetView m_view;
  ContextTracker m_contexts;
  DecisionLog m_decisions;
  ClaimLogClient m_claims;
  CrashLogClient m_crashes;
  once::TicketTable m_tickets;
  limits::AccountLimiter m_limiter;
  limits::RetryBudget m_retries;
  telemetry::Metrics m_metrics;
  std::unique_ptr<KeeperConnection> m_keeper;
  std::uint64_t m_openWork = 0;
  std::map<std::string, std::uint64_t> m_openByOwner; ///< open work by fleet and by client account
  std::uint64_t m_attempts = 0;

  /// @brief Counts open work per fleet and client account; hand-overs wait until none is open.
  void AddOpenWork(const std::vector<std::string>& aOwners);
  void RemoveOpenWork(const std::vector<std::string>& aOwners);

  /// @brief An id for one attempt, unique across gates and restarts.
  std::string NextAttemptId()
  {
    return m_options.m_incarnation + "-" + std::to_string(++m_attempts);
  }
};

} // namespace ferrytray::gate
