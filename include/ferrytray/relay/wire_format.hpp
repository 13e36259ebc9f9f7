#pragma once

#include "ferrytray/base/error.hpp"           // for Result, Failure
#include "ferrytray/net/http_client.hpp"      // for ClientRequest
#include "ferrytray/net/http_server.hpp"      // for HttpRequest
#include "ferrytray/relay/caller_request.hpp" // for CallerRequest
#include "ferrytray/relay/endpoint_call.hpp"  // for EndpointCall, ReplyHead

namespace ferrytray::relay {

/// @brief A reply that the host generates itself.
struct GeneratedReply
{
  int m_status = 503;
  net::Headers m_headers;
  std::string m_body;
};

/// @brief Encodes and decodes the messages exchanged with callers and endpoints. Makes no
/// decisions.
class WireFormat
{
public:
  virtual ~WireFormat() = default;
  /// @brief Decodes a caller's request. @return InvalidField or MissingField if it is malformed
  [[nodiscard]] virtual base::Result<CallerRequest> ReadRequest(
    net::HttpRequest aRequest) const = 0;
  [[nodiscard]] virtual net::ClientRequest WriteCall(const CallerRequest& aRequest,
                                                     const EndpointCall& aCall) const = 0;
  [[nodiscard]] virtual ReplyHead ReadHead(int aStatus, const net::Headers& aHeaders) const = 0;
  /// @brief Encodes an error reply that the host generates itself.
  [[nodiscard]] virtual GeneratedReply WriteFailure(const std::string& aRequestId,
                                                    const base::Failure& aFailure) const = 0;
};

} // namespace ferrytray::relay
