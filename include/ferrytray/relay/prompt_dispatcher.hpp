#pragma once

#include <functional>    // for function
#include <optional>      // for optional
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/peers/peer_exchange.hpp"     // for PeerExchange
#include "ferrytray/peers/unreachable_table.hpp" // for UnreachableTable
#include "ferrytray/relay/assignment.hpp"        // for Assignment
#include "ferrytray/relay/relay_core.hpp"        // for RelayCore
#include "ferrytray/routing/prefill_queues.hpp"  // for PrefillQueues

namespace ferrytray::relay {

struct DispatchOptions
{
  /// Each zone's engines form a group of their own only if every zone has at least this many;
  /// otherwise the engines of all zones form one group. In a small group prompts wait while engines
  /// elsewhere are idle.
  std::size_t m_minEnginesPerZone = 16;
  /// How long a host that did not answer is not asked again. Prompts go to their home engines
  /// meanwhile.
  base::Duration m_hostBackoff = std::chrono::milliseconds(1000);
};

/// @brief Lets one host assign the long prompts of a group of engines, so that each starts where
/// its wait is shortest.
///
/// An engine takes some hundred milliseconds to read a long prompt. Hosts learn of each other's
/// load 0.3 to 0.6 s late, so with hundreds of hosts each would choose without knowing the others'
/// choices. The dispatching host is the first by rank in the engines' availability zone. Every host
/// computes the rank itself, without an election or a lease. If hosts disagree on it,
/// several of them assign prompts without knowing each other's choices. If the dispatching host
/// does not answer in time, the prompt goes to its home engine.
class PromptDispatcher
{
public:
  using Done = std::function<void(Assignment)>;

  /// Keeps references to both. Registers the handler for assignment requests of other hosts.
  PromptDispatcher(RelayCore& aCore,
                   peers::PeerExchange& aPeerExchange,
                   DispatchOptions aOptions = {});

  /// @brief Requests the engine for a prompt.
  /// @param aDone called once, possibly before this function returns
  void RequestEngine(const Prompt& aPrompt,
                     const fleet::ClientAccount* aAccount,
                     const std::string& aService,
                     Done aDone);
  /// @brief Assigns an engine to a prompt, as the dispatching host.
  peers::PlacementReply AssignEngine(const peers::PlacementRequest& aRequest);
  /// @brief Reports how long a prompt that did not wait took until its first event.
  void OnFirstEvent(std::uint32_t aPrefillTokens, base::Duration aDuration);

private:
  /// Engines of a service, in the group of a prompt's key, that this host cannot use now.
  [[nodiscard]] std::vector<peers::EndpointTag> UnreachableEngines(const std::string& aService,
                                                                   const std::string& aKey,
                                                                   base::TimePoint aNow) const;
  [[nodiscard]] std::string ZoneFor(const std::string& aKey, const std::string& aService) const;
  /// Tokens of a prompt that no KV store holds.
  [[nodiscard]] std::uint32_t PrefillTokens(const Prompt& aPrompt,
                                            const fleet::ClientAccount* aAccount,
                                            base::TimePoint aNow) const;
  [[nodiscard]] bool IsStored(const cache::PartName& aPart, base::TimePoint aNow) const;

  struct PrefillSample
  {
    std::uint32_t m_tokens = 0;
    base::Duration m_duration{};
  };

  RelayCore& m_core;
  peers::PeerExchange& m_peerExchange;
  DispatchOptions m_options;
  routing::PrefillQueues m_queues;
  peers::UnreachableTable m_unreachable;
  std::optional<PrefillSample> m_prefillSample;                    ///< sent with the next request
  std::unordered_map<std::string, base::TimePoint> m_backoffUntil; ///< by host
};

} // namespace ferrytray::relay
