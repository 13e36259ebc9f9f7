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
  /// Engines that are chosen from together. Below so many in a zone all zones' engines are one
  /// group: with few to choose from, prompts wait where others are idle.
  std::size_t m_leastEngines = 16;
  /// A host that did not answer is not asked for so long; meanwhile prompts go to their homes.
  base::Duration m_avoid = std::chrono::milliseconds(1000);
};

/// @brief Has one host give out the long prompts of a group of engines, so that each begins where
/// it waits least.
///
/// A long prompt is read for some hundred milliseconds. Hosts hear of each other's work 0.3 to
/// 0.6 s late, so of hundreds of hosts each chooses as if it knew nothing. The host that gives
/// prompts out is the first by rank of the engines' availability zone; each host computes it alike,
/// without a vote or a lease: two that disagree only know less. When it does not answer at once, a
/// prompt goes to its home as without it.
class PromptDispatcher
{
public:
  using Done = std::function<void(Assignment)>;

  /// Keeps references to both. Answers other hosts from now on.
  PromptDispatcher(RelayCore& aCore, peers::PeerExchange& aExchange, DispatchOptions aOptions = {});

  /// @brief Asks which engine a prompt goes to.
  /// @param aDone called once, perhaps before this returns
  void Ask(const Prompt& aPrompt,
           const fleet::ClientAccount* aAccount,
           const std::string& aService,
           Done aDone);
  /// @brief Gives out a prompt.
  peers::PlacementReply Give(const peers::PlacementRequest& aRequest);
  /// @brief A prompt that found nothing waiting began.
  void OnBegan(std::uint32_t aReadTokens, base::Duration aTook);

private:
  /// Engines of a service that this host cannot use now.
  [[nodiscard]] std::vector<peers::EndpointTag> Unreachable(const std::string& aService,
                                                            base::TimePoint aNow) const;
  [[nodiscard]] std::string ZoneFor(const std::string& aKey, const std::string& aService) const;
  /// Tokens of a prompt that no store holds.
  [[nodiscard]] std::uint32_t ReadTokens(const Prompt& aPrompt,
                                         const fleet::ClientAccount* aAccount,
                                         base::TimePoint aNow) const;
  [[nodiscard]] bool IsStored(const cache::PartName& aPart, base::TimePoint aNow) const;

  struct Seen
  {
    std::uint32_t m_tokens = 0;
    base::Duration m_took{};
  };

  RelayCore& m_core;
  peers::PeerExchange& m_exchange;
  DispatchOptions m_options;
  routing::PrefillQueues m_queues;
  peers::UnreachableTable m_unreachable;
  std::optional<Seen> m_seen;                                    ///< told with the next question
  std::unordered_map<std::string, base::TimePoint> m_avoidUntil; ///< by host
};

} // namespace ferrytray::relay
