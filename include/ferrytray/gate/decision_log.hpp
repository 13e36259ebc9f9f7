#pragma once

#include <cstddef>       // for size_t
#include <deque>         // for deque
#include <optional>      // for optional
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/routing/estimate.hpp" // for Plan

namespace ferrytray::gate {

/// @brief One candidate of a decision, as it was judged.
struct ScoredCandidate
{
  std::string m_worker;
  std::optional<routing::Plan> m_plan; ///< empty: not usable or not looked at
};

/// @brief One routing decision.
struct Decision
{
  std::string m_request;
  std::string m_account;
  std::string m_fleet;
  std::string m_worker; ///< empty: none could be used
  std::vector<ScoredCandidate> m_candidates;
};

/// @brief The last decisions, for `ferrytray explain`.
class DecisionLog
{
public:
  explicit DecisionLog(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /// @brief Writes the decision's log line and remembers it.
  void Record(Decision aDecision);
  /// @brief The decisions of a request as JSON; empty when it is not remembered.
  [[nodiscard]] std::string Explain(const std::string& aRequest) const;

private:
  std::size_t m_capacity;
  std::deque<Decision> m_decisions;
};

} // namespace ferrytray::gate
