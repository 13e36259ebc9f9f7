#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/time.hpp"        // for Duration
#include "ferrytray/cache/store_feed.hpp" // for StoreChange

namespace ferrytray::cache {

/// @brief How far a host has followed another host's account of one store.
struct ContentsCursor
{
  std::string m_store;        ///< IP:PORT
  std::uint64_t m_series = 0; ///< of the other host's ChangeHistory; zero: nothing yet
  std::uint64_t m_next = 0;   ///< the first change that is wanted
};

/// @brief What one host tells another of a store that it follows.
struct ContentsDelta
{
  std::string m_store;                       ///< IP:PORT
  std::uint64_t m_epoch = 0;                 ///< the store's
  std::uint64_t m_series = 0;                ///< for the next cursor
  std::uint64_t m_next = 0;                  ///< for the next cursor
  bool m_whole = false;                      ///< the changes are the whole contents
  base::Duration m_age{};                    ///< since the store said so
  std::optional<std::int64_t> m_clockMillis; ///< the endpoints' common clock at the time of sending
  std::vector<StoreChange> m_changes;
};

} // namespace ferrytray::cache
