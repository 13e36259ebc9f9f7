#pragma once

#include <cstdint>    // for int64_t, uint32_t, uint64_t
#include <functional> // for function
#include <optional>   // for optional
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/base/error.hpp" // for Result
#include "ferrytray/base/time.hpp"  // for Duration

namespace ferrytray::cache {

/// @brief Identifies a cached part of a prompt by its scope (see Scope) and id.
struct PartName
{
  std::string m_scope;
  std::string m_id;
  auto operator<=>(const PartName&) const = default;
};

/// @brief A part was completely stored, or was removed from the store.
struct StoreChange
{
  PartName m_part;
  std::uint32_t m_tokens = 0;
  bool m_added = true;
};

/// @brief Events of a store, or a listing of its whole contents.
struct StoreEvents
{
  std::uint64_t m_epoch = 0;                 ///< changes when the store restarts (it is then empty)
  std::uint64_t m_next = 0;                  ///< to read the further events from
  std::optional<std::uint64_t> m_first;      ///< lowest sequence number of these events
  bool m_eventsLost = false;                 ///< events were dropped before these
  std::optional<std::int64_t> m_clockMillis; ///< the endpoints' common clock
  std::vector<StoreChange> m_changes;
};

/// @brief Interface for reading the events and contents of stores.
class StoreFeed
{
public:
  using Done = std::function<void(base::Result<StoreEvents>)>;
  virtual ~StoreFeed() = default;
  /// @brief Reads the events from a sequence number on.
  /// @param aWait how long the store may wait for an event (long polling)
  virtual void ReadEvents(const std::string& aAddress,
                          std::uint64_t aSince,
                          base::Duration aWait,
                          Done aDone) = 0;
  /// @brief Reads the whole contents. It blocks the store, so use it only after lost events.
  virtual void ReadAll(const std::string& aAddress, Done aDone) = 0;
};

} // namespace ferrytray::cache
