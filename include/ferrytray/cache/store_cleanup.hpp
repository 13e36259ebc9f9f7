#pragma once

#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/base/time.hpp"          // for Duration, TimePoint
#include "ferrytray/cache/part_planner.hpp" // for Stores
#include "ferrytray/cache/store_feed.hpp"   // for PartName

namespace ferrytray::cache {

struct CleanupOptions
{
  /// No request fetches parts of replaced weights once no engine runs them; this is how much longer
  /// such a fetch may still be under way: the 1.2 s within which fetches have to end, and 1.5 s. An
  /// engine takes no request while it loads, which is more than a second before it is known to run
  /// the new weights.
  base::Duration m_gracePeriod = std::chrono::milliseconds(2700);
  /// Parts freed by one call.
  std::size_t m_maxBatch = 512;
  /// The same parts are asked for again only after this; their news take a moment.
  base::Duration m_retryInterval = std::chrono::milliseconds(1500);
};

/// @brief Parts to be freed at one store.
struct FreeParts
{
  std::string m_store; ///< IP:PORT
  std::uint64_t m_epoch = 0;
  std::vector<PartName> m_parts;
};

/// @brief Decides which parts nobody will ask for again: those of weights that no engine runs any
/// more. Pure. Stores free nothing by themselves, so without this they fill up for good.
class StoreCleanup
{
public:
  explicit StoreCleanup(CleanupOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief What is to be freed now.
  /// @param aOldestWeights by model, the oldest weights that an engine may still run
  std::vector<FreeParts> Plan(const Stores& aStores,
                              const std::map<std::string, std::uint32_t>& aOldestWeights,
                              base::TimePoint aNow);
  /// @brief A store was asked to free what was planned.
  void OnFreeRequested(const std::string& aStore, base::TimePoint aNow);

private:
  struct OldestWeights
  {
    std::uint32_t m_weights = 0;
    base::TimePoint m_since;
  };

  CleanupOptions m_options;
  std::map<std::string, OldestWeights> m_oldestWeights; ///< by model
  std::map<std::string, base::TimePoint> m_requestedAt; ///< by store
};

} // namespace ferrytray::cache
