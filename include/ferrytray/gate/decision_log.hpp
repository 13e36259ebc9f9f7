#pragma once

#include <cstddef>       // for size_t
#include <deque>         // for deque
#include <optional>      // for optional
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/routing/estimate.hpp" // for Plan

namespace ferrytray::gate {

/// @brief A candidate worker and its evaluated plan.
struct ScoredCandidate
{
  std::string m_worker;
  std::optional<routing::Plan> m_plan; ///< empty if not usable or not evaluated
};

/// @brief A routing decision for one attempt of a request.
struct Decision
{
  std::string m_request;
  std::string m_account;
  std::string m_fleet;
  std::string m_worker; ///< empty if no worker was usable
  std::vector<ScoredCandidate> m_candidates;
};

/// @brief Keeps the most recent decisions for `ferrytray explain`.
class DecisionLog
{
public:
  explicit DecisionLog(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /// @brief Logs the decision and stores it.
  void Record(Decision aDecision);
  /// @brief The decisions of a request as JSON; empty if none is stored.
  [[nodiscard]] std::string Explain(const std::string& aRequest) const;

private:
  std::size_t m_capacity;
  std::deque<Decision> m_decisions;
};

} // namespace ferrytray::gate
