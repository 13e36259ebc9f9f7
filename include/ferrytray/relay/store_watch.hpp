#pragma once

#include <map>    // for map
#include <memory> // for shared_ptr
#include <string> // for string

#include "ferrytray/cache/store_follower.hpp" // for StoreFollower
#include "ferrytray/relay/relay_core.hpp"     // for RelayCore

namespace ferrytray::relay {

/// @brief Tracks the KV stores named in the configuration in force. Follows their contents if this
/// host is one of the readers.
class StoreWatch
{
public:
  StoreWatch(RelayCore& aCore, cache::StoreFeed& aFeed)
    : m_core(aCore)
    , m_feed(aFeed)
  {
  }

  /// @brief Updates the list of stores from the configuration that came into force.
  void OnConfiguration();
  /// @brief Sets whether this host reads from the stores itself.
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
