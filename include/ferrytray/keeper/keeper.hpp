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

/// @brief Control daemon of one host: configuration, membership, loads, leases and swap orders.
///
/// It never carries caller traffic. If it is down, the gate continues with the last state.
class Keeper
{
public:
  static base::Result<std::unique_ptr<Keeper>> Create(net::Loop& aLoop,
                                                      const KeeperOptions& aOptions);
  virtual ~Keeper() = default;
  [[nodiscard]] virtual net::Address HttpAddress() const = 0;
  [[nodiscard]] virtual net::Address ControlAddress() const = 0;
  [[nodiscard]] virtual net::Address GossipAddress() const = 0;
  /// @brief Announces the shutdown to the peers for a few rounds, then calls aDone.
  virtual void Leave(std::function<void()> aDone) = 0;
};

} // namespace ferrytray::keeper
