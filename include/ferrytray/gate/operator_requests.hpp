#pragma once

#include <memory> // for shared_ptr

#include "ferrytray/gate/gate_core.hpp"  // for GateCore
#include "ferrytray/net/http_server.hpp" // for HttpRequest, HttpReply, HttpServerCounters

namespace ferrytray::gate {

/// @brief Answers what operators, the balancer and the other half ask a gate: health, readiness,
/// metrics, the end of a hand-over, the story of a request.
/// @param aDraining whether a planned stop has begun
/// @return whether it was such a question
bool HandleOperatorRequest(GateCore& aCore,
                           const net::HttpServerCounters& aCounters,
                           bool aDraining,
                           const net::HttpRequest& aRequest,
                           const std::shared_ptr<net::HttpReply>& aReply);

} // namespace ferrytray::gate
