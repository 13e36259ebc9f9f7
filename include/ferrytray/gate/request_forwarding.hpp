#pragma once

#include <memory> // for shared_ptr
#include <string> // for string

#include "ferrytray/gate/gate_core.hpp"  // for GateCore
#include "ferrytray/net/http_server.hpp" // for HttpRequest, HttpReply

namespace ferrytray::gate {

/// @brief Forwards a request to another gate and streams the response back.
/// @param aAddress IP:PORT of a known member's gate
/// @param aRequestId for the error response if the other gate is unreachable
void ForwardRequest(GateCore& aCore,
                    const std::string& aAddress,
                    const net::HttpRequest& aRequest,
                    const std::string& aRequestId,
                    std::shared_ptr<net::HttpReply> aReply);

} // namespace ferrytray::gate
