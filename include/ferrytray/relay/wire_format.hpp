#pragma once

#include "ferrytray/base/error.hpp"           // for Result, Failure
#include "ferrytray/net/http_client.hpp"      // for ClientRequest
#include "ferrytray/net/http_server.hpp"      // for HttpRequest
#include "ferrytray/relay/caller_request.hpp" // for CallerRequest
#include "ferrytray/relay/endpoint_call.hpp"  // for EndpointCall, ReplyHead

namespace ferrytray::relay {

/// @brief An answer that the system gives itself.
struct GeneratedReply
{
  int m_status = 503;
  net::Headers m_headers;
  std::string m_body;
};

/// @brief The names that callers and endpoints use on the wire. Translates, decides nothing.
class WireFormat
{
public:
  virtual ~WireFormat() = default;
  /// @brief Reads a caller's request. @return InvalidField or MissingField when it is improper
  [[nodiscard]] virtual base::Result<CallerRequest> ReadRequest(
    net::HttpRequest aRequest) const = 0;
  [[nodiscard]] virtual net::ClientRequest WriteCall(const CallerRequest& aRequest,
                                                     const EndpointCall& aCall) const = 0;
  [[nodiscard]] virtual ReplyHead ReadHead(int aStatus, const net::Headers& aHeaders) const = 0;
  /// @brief A refusal or failure of the system's own.
  [[nodiscard]] virtual GeneratedReply WriteFailure(const std::string& aRequestId,
                                                    const base::Failure& aFailure) const = 0;
};

} // namespace ferrytray::relay
