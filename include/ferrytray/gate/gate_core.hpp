#pragma once

#include <functional> // for function
#include <map>        // for map
#include <memory>     // for unique_ptr
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/gate/claim_log_client.hpp"  // for ClaimsLink
#include "ferrytray/gate/context_tracker.hpp"   // for ContextLog
#include "ferrytray/gate/crash_log_client.hpp"  // for CrashLink
#include "ferrytray/gate/decision_log.hpp"      // for DecisionLog
#include "ferrytray/gate/fleet_view.hpp"        // for FleetView
#include "ferrytray/gate/keeper_connection.hpp" // for KeeperLink
#include "ferrytray/limits/account_limiter.hpp" // for AccountLimiter
#include "ferrytray/limits/retry_budget.hpp"    // for RetryBudget
#include "ferrytray/once/ticket_table.hpp"      // for TicketTable
#include "ferrytray/telemetry/metrics.hpp"      // for Metrics

namespace ferrytray::gate {

/// @brief What every request at one gate shares.
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

  /// @brief Work of these owners begins or has ended; hand-overs wait for it.
  void AddOpenWork(const std::vector<std::string>& aOwners);
  void RemoveOpenWork(const std::vector<std::string>& aOwners);

  /// @brief A name for one attempt, unique over all gates and starts.
  std::string NextAttemptId()
  {
    return m_options.m_incarnation + "-" + std::to_string(++m_attempts);
  }
};

} // namespace ferrytray::gate
