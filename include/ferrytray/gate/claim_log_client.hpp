#pragma once

#include <functional> // for function
#include <map>        // for map
#include <string>     // for string

#include "ferrytray/gate/options.hpp"           // for GateOptions
#include "ferrytray/once/answer_store.hpp"      // for AnswerStore
#include "ferrytray/once/claim_coordinator.hpp" // for ClaimCoordinator
#include "ferrytray/wire/log_client.hpp"        // for LogClient
#include "ferrytray/wire/log_follower.hpp"      // for LogFollower

namespace ferrytray::gate {

/// @brief Claims idempotency keys through the platform's log.
class ClaimLogClient
{
public:
  /// @brief Called once: claim won, lost to another request, or unsettled.
  using OnSettled = std::function<void(const once::ClaimAction&)>;

  ClaimLogClient(net::Loop& aLoop, net::HttpClient& aHttp, const GateOptions& aOptions);
  void Start();

  /// @brief Claims a key. Calls back synchronously if the key is already held or the log is
  /// unavailable.
  /// @return the claim's id, for Complete() and Release()
  base::Digest128 Claim(const base::Digest128& aKey,
                        const base::Digest128& aRequest,
                        OnSettled aOnSettled);
  /// @brief The request has ended; stores its response if there is one.
  void Complete(const base::Digest128& aClaim,
                const base::Digest128& aKey,
                std::optional<once::StoredAnswer> aAnswer);
  /// @brief The request was certainly not run; releases the key.
  void Release(const base::Digest128& aClaim);

  [[nodiscard]] std::optional<once::StoredAnswer> FindResponse(const base::Digest128& aKey) const;
  /// @brief Whether claims can be settled: the log is reachable and has been read to its end.
  [[nodiscard]] bool CanSettle() const { return m_follower.CaughtUp() && m_follower.Reachable(); }
  [[nodiscard]] std::size_t HeldKeys() const { return m_coordinator.Table().Size(); }

private:
  void OnPage(const wire::LogPage& aPage);
  void PerformActions(const once::ClaimActions& aActions);
  void PerformAction(const once::AppendBatch& aAction);
  void PerformAction(const once::ClaimWon& aAction);
  void PerformAction(const once::ClaimLost& aAction);
  void PerformAction(const once::ClaimUnsettled& aAction);
  void Settle(const base::Digest128& aClaim, const once::ClaimAction& aAction);

  net::Loop& m_loop;
  std::string m_holder;
  once::ClaimCoordinator m_coordinator;
  once::AnswerStore m_answers;
  wire::LogFollower m_follower;
  wire::LogClient m_appender;
  std::map<base::Digest128, OnSettled> m_pendingClaims;
  net::TimerHandle m_tickTimer;
};

} // namespace ferrytray::gate
