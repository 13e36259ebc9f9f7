#pragma once

#include <array>       // for array
#include <cstddef>     // for size_t
#include <cstdint>     // for int64_t, uint32_t, uint64_t, uint8_t
#include <map>         // for map
#include <optional>    // for optional
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/cache/store_contents.hpp" // for StoreContents

namespace ferrytray::cache {

/// @brief A part of a prompt to plan transfers for.
struct PlannedPart
{
  std::string m_id;
  std::uint32_t m_tokens = 0;
};

/// @brief Whether a part is fetched from a store, and if not, why.
///
/// A part that is in no store may still be fetched from the prompt's home endpoint.
enum class PartOutcome : std::uint8_t
{
  Unshared,  ///< the request's own part, or the prompt has too few shared tokens
  Fetched,   ///< fetched from a store
  Saved,     ///< in no store; saved after the prefill
  OnItsWay,  ///< a save for another request is in progress
  NoRoom,    ///< no store may save it: no capacity, or a recent restart
  NoContact, ///< no store's contents are known recently enough
};

inline constexpr std::size_t kPartOutcomes = 6;

/// @brief Name of the outcome in logs.
std::string_view ToString(PartOutcome aOutcome);

/// @brief Source and destination of a part: addresses (IP:PORT), or empty for no transfer.
struct PartTransfers
{
  std::string m_fetchFrom;
  std::string m_saveTo;
  PartOutcome m_outcome = PartOutcome::Unshared;
};

/// @brief Transfers of a prompt's parts, in the order of the parts.
struct PartPlan
{
  std::vector<PartTransfers> m_transfers;
  std::optional<std::int64_t> m_fetchDeadline; ///< on the endpoints' clock (ms)
  [[nodiscard]] bool Empty() const;
  /// @brief Number of tokens per outcome, in the order of PartOutcome.
  [[nodiscard]] std::array<std::uint64_t, kPartOutcomes> TokensByOutcome(
    std::span<const PlannedPart> aParts) const;
};

/// @brief All stores by address.
using Stores = std::map<std::string, StoreContents>;

struct PlannerOptions
{
  /// Prompts with fewer shared tokens are prefilled within milliseconds, which is less than their
  /// transfers would wait.
  std::uint32_t m_minSharedTokens = 512;
};

/// @brief A prompt to plan transfers for.
struct PlannedPrompt
{
  /// In prompt order; the last one is the request's own part and is never saved.
  std::span<const PlannedPart> m_parts;
  std::string m_scope; ///< scope of its cached parts (see Scope)
  /// Other endpoint that may hold parts that no store has (IP:PORT), or empty.
  std::string m_home;
  /// Fetches must complete within this time.
  base::Duration m_fetchTimeout = std::chrono::seconds(2);
};

/// @brief Plans which parts a request fetches from stores and which it saves. Does no I/O.
///
/// All shared parts of a prompt are transferred, even short ones: an engine can use a cached or
/// fetched part only if it has all parts before it, so a missing short part would force the prefill
/// of the long part behind it. Transferring a token costs about a fiftieth of its prefill.
///
/// The home store of a part is selected by weighted rendezvous hashing, so that hosts agree on it
/// without communication. If the home has no capacity, the next store in order is used.
class PartPlanner
{
public:
  explicit PartPlanner(PlannerOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  PartPlan Plan(const PlannedPrompt& aPrompt, Stores& aStores, base::TimePoint aNow) const;

private:
  static std::vector<std::string> RankStores(const std::string& aId, const Stores& aStores);

  PlannerOptions m_options;
};

} // namespace ferrytray::cache
