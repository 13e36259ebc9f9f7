#pragma once

#include <memory> // for shared_ptr

#include "ferrytray/gate/gate_core.hpp"  // for GateCore
#include "ferrytray/net/http_server.hpp" // for HttpRequest, HttpReply, HttpServerCounters

namespace ferrytray::gate {

/// @brief Serves the paths for operators, the load balancer and the other half: health, readiness,
/// metrics, hand-over epochs and the routing decisions of a request.
/// @param aDraining whether a planned stop has begun
/// @return whether the path was one of these
bool HandleOperatorRequest(GateCore& aCore,
                           const net::HttpServerCounters& aCounters,
                           bool aDraining,
                           const net::HttpRequest& aRequest,
                           const std::shared_ptr<net::HttpReply>& aReply);

} // namespace ferrytray::gate
