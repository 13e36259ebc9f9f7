#pragma once

#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/config/document.hpp"      // for Fleet
#include "ferrytray/control/lease.hpp"        // for LeaseTable, LeaseHolder
#include "ferrytray/control/swap_planner.hpp" // for SwapPlanner
#include "ferrytray/keeper/options.hpp"       // for KeeperOptions
#include "ferrytray/wire/frames.hpp"          // for EndpointStatus
#include "ferrytray/wire/log_client.hpp"      // for LogClient
#include "ferrytray/wire/log_follower.hpp"    // for LogFollower

namespace ferrytray::keeper {

/// @brief Orders weight swaps. A lease in the platform's log ensures that one host at a time
/// controls a fleet.
class SwapController
{
public:
  SwapController(net::Loop& aLoop, net::HttpClient& aHttp, const KeeperOptions& aOptions);
  void Start();
  /// @brief Runs one control round: acquires and renews leases, then sends swap orders.
  /// @param aFleets the fleets in force
  /// @param aEndpoints all known endpoints
  /// @param aHosts live hosts; the one with the highest rendezvous hash acquires a fleet's lease
  void OnRound(const std::vector<const config::Fleet*>& aFleets,
               const std::vector<wire::EndpointStatus>& aEndpoints,
               const std::vector<std::string>& aHosts,
               base::TimePoint aNow);
  /// @brief Whether this host holds the lease of a fleet that has workers to swap, so that it has
  /// to poll the loads of all zones itself.
  [[nodiscard]] bool NeedsAllZones() const { return m_needsAllZones; }
  [[nodiscard]] const control::LeaseTable& Leases() const { return m_leases; }

private:
  struct FleetControl
  {
    FleetControl(const std::string& aHolder, const control::LeaseHolderOptions& aOptions)
      : m_holder(aHolder, aOptions)
      , m_planner({})
    {
    }
    control::LeaseHolder m_holder;
    control::SwapPlanner m_planner;
    control::FencingToken m_plannerToken = 0;
  };

  void OnPage(const wire::LogPage& aPage);
  void AppendLeases(const std::vector<std::string>& aLeaseNames, base::TimePoint aNow);
  void OrderSwaps(const config::Fleet& aFleet,
                  FleetControl& aControl,
                  const std::vector<wire::EndpointStatus>& aEndpoints,
                  base::TimePoint aNow);
  void SendOrder(const config::Fleet& aFleet,
                 const control::SwapOrder& aOrder,
                 const std::string& aAddress);

  net::HttpClient& m_http;
  std::string m_holderName;
  control::LeaseHolderOptions m_holderOptions;
  wire::LogFollower m_follower;
  wire::LogClient m_appender;
  control::LeaseTable m_leases;
  std::map<std::string, FleetControl> m_fleets;
  bool m_appendPending = false;
  bool m_needsAllZones = false;
};

} // namespace ferrytray::keeper
