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

/// @brief A part of a prompt that is to be placed.
struct PlannedPart
{
  std::string m_id;
  std::uint32_t m_tokens = 0;
};

/// @brief What becomes of a part, and why it is read again if it is.
enum class PartOutcome : std::uint8_t
{
  Unshared,  ///< the request's own, or of a prompt with few shared tokens
  Fetched,   ///< a store has it
  Saved,     ///< no store has it; it is read and saved
  OnItsWay,  ///< another request is having it saved
  NoRoom,    ///< no store has room for it
  NoContact, ///< what stores hold is not known well enough now
};

inline constexpr std::size_t kPartOutcomes = 6;

/// @brief The word for it in logs.
std::string_view ToString(PartOutcome aOutcome);

/// @brief Where one part may come from and go to; addresses (IP:PORT), empty for nowhere.
struct PartTransfers
{
  std::string m_fetchFrom;
  std::string m_saveTo;
  PartOutcome m_outcome = PartOutcome::Unshared;
};

/// @brief The moves of a prompt's parts, in their order.
struct PartPlan
{
  std::vector<PartTransfers> m_transfers;
  std::optional<std::int64_t> m_fetchDeadline; ///< on the endpoints' clock (ms)
  [[nodiscard]] bool Empty() const;
  /// @brief Tokens by fate, in the order of PartOutcome.
  [[nodiscard]] std::array<std::uint64_t, kPartOutcomes> TokensByOutcome(
    std::span<const PlannedPart> aParts) const;
};

/// @brief All stores by address.
using Stores = std::map<std::string, StoreContents>;

struct PlannerOptions
{
  /// With fewer shared tokens in all, a prompt is read in some milliseconds, less than its
  /// transfers wait (tokens).
  std::uint32_t m_minSharedTokens = 512;
};

/// @brief A prompt whose parts are to be placed.
struct PlannedPrompt
{
  /// In order; the last one is the request's own and is never saved.
  std::span<const PlannedPart> m_parts;
  std::string m_scope; ///< under which its parts are cached
  std::string m_home;  ///< another endpoint that may hold the parts (IP:PORT), or empty
  base::Duration m_fetchTimeout = std::chrono::seconds(2); ///< later parts are of no use
};

/// @brief Decides which parts a request fetches from stores and which it leaves in them. Pure.
///
/// A prompt's shared parts are kept together, short ones, too: an engine uses a part that it has or
/// fetches only if it has all parts before it, so a short part that is missing has the long one
/// behind it read again. A token that is moved costs about a fiftieth of one that is read.
///
/// A part's home store is named by weighted rendezvous hashing, so hosts agree on it without
/// asking each other; it goes to the next one when its home has no room.
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
