#pragma once

#include <cstdint>    // for int64_t, uint32_t, uint64_t
#include <functional> // for function
#include <optional>   // for optional
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/base/error.hpp" // for Result
#include "ferrytray/base/time.hpp"  // for Duration

namespace ferrytray::cache {

/// @brief A part of a prompt under the text that its requests were cached under.
struct PartName
{
  std::string m_scope;
  std::string m_id;
  auto operator<=>(const PartName&) const = default;
};

/// @brief A part became whole in a store, or left it.
struct StoreChange
{
  PartName m_part;
  std::uint32_t m_tokens = 0;
  bool m_added = true;
};

/// @brief What a store tells of its contents.
struct StoreEvents
{
  std::uint64_t m_epoch = 0;                 ///< changes when the store restarts, empty
  std::uint64_t m_next = 0;                  ///< where the next news begin
  bool m_eventsLost = false;                 ///< some news between are no longer kept
  std::optional<std::int64_t> m_clockMillis; ///< the endpoints' common clock
  std::vector<StoreChange> m_changes;
};

/// @brief How news of stores arrive.
class StoreFeed
{
public:
  using Done = std::function<void(base::Result<StoreEvents>)>;
  virtual ~StoreFeed() = default;
  /// @param aWait how long the store may wait for news
  virtual void ReadEvents(const std::string& aAddress,
                          std::uint64_t aSince,
                          base::Duration aWait,
                          Done aDone) = 0;
  /// @brief Reads the whole contents. It holds the store up, so it is for lost news only.
  virtual void ReadAll(const std::string& aAddress, Done aDone) = 0;
};

} // namespace ferrytray::cache
