#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/time.hpp"        // for Duration
#include "ferrytray/cache/store_feed.hpp" // for StoreChange

namespace ferrytray::cache {

/// @brief Position in another host's history of changes to a store.
struct ContentsCursor
{
  std::string m_store;        ///< IP:PORT
  std::uint64_t m_series = 0; ///< of the other host's ChangeHistory; zero: none yet
  std::uint64_t m_next = 0;   ///< number of the next change
};

/// @brief Changes to a store's contents that one host sends another.
struct ContentsDelta
{
  std::string m_store;                       ///< IP:PORT
  std::uint64_t m_epoch = 0;                 ///< epoch of the store
  std::uint64_t m_series = 0;                ///< of the next cursor
  std::uint64_t m_next = 0;                  ///< of the next cursor
  bool m_whole = false;                      ///< m_changes is the whole contents
  base::Duration m_age{};                    ///< since the store was read
  std::optional<std::int64_t> m_clockMillis; ///< the endpoints' common clock at the time of sending
  std::vector<StoreChange> m_changes;
};

} // namespace ferrytray::cache
