#pragma once

#include <map>    // for map
#include <memory> // for shared_ptr
#include <string> // for string

#include "ferrytray/cache/store_follower.hpp" // for StoreFollower
#include "ferrytray/relay/relay_core.hpp"     // for RelayCore

namespace ferrytray::relay {

/// @brief Keeps the KV stores that the configuration in force names, and follows them if this host
/// is to read from them itself.
class StoreWatch
{
public:
  StoreWatch(RelayCore& aCore, cache::StoreFeed& aFeed)
    : m_core(aCore)
    , m_feed(aFeed)
  {
  }

  /// @brief A configuration came into force.
  void OnConfiguration();
  /// @brief Whether this host reads from the stores itself.
  void SetReader(bool aIsReader);
  void Stop();

private:
  void Follow(const std::string& aAddress);

  RelayCore& m_core;
  cache::StoreFeed& m_feed;
  bool m_isReader = false;
  std::map<std::string, std::shared_ptr<cache::StoreFollower>> m_followers; ///< by address
};

} // namespace ferrytray::relay
