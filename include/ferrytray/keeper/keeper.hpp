#pragma once

#include <memory> // for shared_ptr, unique_ptr
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/keeper/config_sync.hpp"      // for ConfigSync
#include "ferrytray/keeper/endpoint_watch.hpp"   // for EndpointWatch
#include "ferrytray/keeper/half_controller.hpp"  // for HalfController
#include "ferrytray/keeper/options.hpp"          // for KeeperOptions
#include "ferrytray/keeper/share_calculator.hpp" // for ShareCalculator
#include "ferrytray/keeper/swap_controller.hpp"  // for SwapController
#include "ferrytray/membership/member_table.hpp" // for MemberTable
#include "ferrytray/net/datagram.hpp"            // for DatagramSocket
#include "ferrytray/net/frame_channel.hpp"       // for FrameServer
#include "ferrytray/net/http_server.hpp"         // for HttpServer
#include "ferrytray/replay/registry.hpp"         // for Registry
#include "ferrytray/telemetry/metrics.hpp"       // for Metrics

namespace ferrytray::keeper {

/// @brief One host's control daemon: configuration, membership, loads, leases, swap orders.
///
/// It never carries caller traffic; its gate goes on with the last state when it is gone.
class Keeper
{
public:
  static base::Result<std::unique_ptr<Keeper>> Create(net::Loop& aLoop,
                                                      const KeeperOptions& aOptions);
  virtual ~Keeper() = default;
  [[nodiscard]] virtual net::Address HttpAddress() const = 0;
  [[nodiscard]] virtual net::Address ControlAddress() const = 0;
  [[nodiscard]] virtual net::Address GossipAddress() const = 0;
  /// @brief Tells the peers, then calls.
  virtual void Leave(std::function<void()> aDone) = 0;
};

} // namespace ferrytray::keeper
