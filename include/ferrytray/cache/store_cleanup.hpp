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
  /// Time after which no fetch of parts of replaced weights can be in progress any more: the
  /// maximum fetch duration of 1.2 s and a margin of 1.5 s. In addition, an engine accepts no
  /// requests while it loads weights, which starts more than a second before it is known to run
  /// them.
  base::Duration m_gracePeriod = std::chrono::milliseconds(2700);
  /// Parts freed by one request.
  std::size_t m_maxBatch = 512;
  /// Time between requests to a store, so that the events of freed parts can arrive.
  base::Duration m_retryInterval = std::chrono::milliseconds(1500);
};

/// @brief Parts to be freed at one store.
struct FreeParts
{
  std::string m_store; ///< IP:PORT
  std::uint64_t m_epoch = 0;
  std::vector<PartName> m_parts;
};

/// @brief Selects the parts to free: those of weights that no engine runs any more. Does no I/O.
///
/// Stores free nothing by themselves and would otherwise fill up permanently.
class StoreCleanup
{
public:
  explicit StoreCleanup(CleanupOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Returns the parts to free now.
  /// @param aOldestWeights by model, the oldest weight version that an engine may still run
  std::vector<FreeParts> Plan(const Stores& aStores,
                              const std::map<std::string, std::uint32_t>& aOldestWeights,
                              base::TimePoint aNow);
  /// @brief The planned request was sent to a store.
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
