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

/// @brief Claims by callers' own keys: the coordinator joined to the platform's log.
class ClaimsLink
{
public:
  /// @brief Told once: dispatch, or another holds it, or refuse.
  using OnSettled = std::function<void(const once::ClaimAction&)>;

  ClaimsLink(net::Loop& aLoop, net::HttpClient& aHttp, const GateOptions& aOptions);
  void Start();

  /// @brief Claims a key. When the key is held already the answer comes at once.
  /// @return the claim's id, for Done and NotRun
  base::Digest128 Claim(const base::Digest128& aKey,
                        const base::Digest128& aRequest,
                        OnSettled aOnSettled);
  /// @brief The request ended; its answer is kept if there is one.
  void Done(const base::Digest128& aClaim,
            const base::Digest128& aKey,
            std::optional<once::StoredAnswer> aAnswer);
  /// @brief The request certainly ran nothing.
  void NotRun(const base::Digest128& aClaim);

  [[nodiscard]] std::optional<once::StoredAnswer> StoredAnswer(const base::Digest128& aKey) const;
  /// @brief Whether claims can be settled now: the log was read to its end and answers.
  [[nodiscard]] bool Usable() const { return m_follower.CaughtUp() && m_follower.Reachable(); }
  [[nodiscard]] std::size_t HeldKeys() const { return m_coordinator.Table().Size(); }

private:
  void OnPage(const wire::LogPage& aPage);
  void Perform(const once::ClaimActions& aActions);
  void PerformOne(const once::AppendBatch& aAction);
  void PerformOne(const once::ClaimWon& aAction);
  void PerformOne(const once::ClaimLost& aAction);
  void PerformOne(const once::ClaimUnsettled& aAction);
  void Settle(const base::Digest128& aClaim, const once::ClaimAction& aAction);

  net::Loop& m_loop;
  std::string m_holder;
  once::ClaimCoordinator m_coordinator;
  once::AnswerStore m_answers;
  wire::LogFollower m_follower;
  wire::LogClient m_appender;
  std::map<base::Digest128, OnSettled> m_waiting;
  net::TimerHandle m_tick;
};

} // namespace ferrytray::gate
