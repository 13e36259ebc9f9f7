#pragma once

#include <functional>    // for function
#include <optional>      // for optional
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/peers/news_exchange.hpp"     // for NewsExchange
#include "ferrytray/peers/unreachable_board.hpp" // for UnreachableBoard
#include "ferrytray/relay/assignment.hpp"        // for Assignment
#include "ferrytray/relay/relay_core.hpp"        // for RelayCore
#include "ferrytray/routing/prefill_queues.hpp"  // for PrefillQueues

namespace ferrytray::relay {

struct DispatchOptions
{
  /// Engines that are chosen from together. Below so many in a zone all zones' engines are one
  /// group: with few to choose from, prompts wait where others are idle.
  std::size_t m_minEnginesPerZone = 16;
  /// A host that did not answer is not asked for so long; meanwhile prompts go to their homes.
  base::Duration m_hostBackoff = std::chrono::milliseconds(1000);
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
  PromptDispatcher(RelayCore& aCore, peers::NewsExchange& aNews, DispatchOptions aOptions = {});

  /// @brief Asks which engine a prompt goes to.
  /// @param aDone called once, perhaps before this returns
  void RequestEngine(const Prompt& aPrompt,
                     const fleet::ClientAccount* aAccount,
                     const std::string& aService,
                     Done aDone);
  /// @brief Gives out a prompt.
  peers::PlacementReply AssignEngine(const peers::PlacementRequest& aRequest);
  /// @brief A prompt that found nothing waiting began.
  void OnFirstEvent(std::uint32_t aPrefillTokens, base::Duration aDuration);

private:
  /// Engines of a service that this host cannot use now.
  [[nodiscard]] std::vector<peers::EndpointTag> UnreachableEngines(const std::string& aService,
                                                                   base::TimePoint aNow) const;
  [[nodiscard]] std::string ZoneFor(const std::string& aKey, const std::string& aService) const;
  /// Tokens of a prompt that no store holds.
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
  peers::NewsExchange& m_news;
  DispatchOptions m_options;
  routing::PrefillQueues m_queues;
  peers::UnreachableBoard m_unreachable;
  std::optional<PrefillSample> m_prefillSample;                    ///< told with the next question
  std::unordered_map<std::string, base::TimePoint> m_backoffUntil; ///< by host
};

} // namespace ferrytray::relay
