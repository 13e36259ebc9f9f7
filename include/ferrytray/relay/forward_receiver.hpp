#pragma once

#include <cstddef> // for size_t
#include <memory>  // for shared_ptr
#include <string>  // for string

#include "ferrytray/net/http_server.hpp"        // for HttpReply, HttpRequest
#include "ferrytray/relay/forward_messages.hpp" // for ForwardedRequest
#include "ferrytray/relay/relay_core.hpp"       // for RelayCore

namespace ferrytray::relay {

struct ForwardReceiverOptions
{
  /// Forwarded requests that are open at the same time; bounds memory.
  std::size_t m_maxOpen = 256;
};

/// @brief Sends requests that other hosts have forwarded to endpoints. Never forwards them again.
class ForwardReceiver
{
public:
  explicit ForwardReceiver(RelayCore& aCore, ForwardReceiverOptions aOptions = {})
    : m_core(aCore)
    , m_options(aOptions)
  {
  }

  void Handle(const net::HttpRequest& aRequest, std::shared_ptr<net::HttpReply> aReply);

private:
  /// Returns why this host must not send the request; null: it may.
  [[nodiscard]] const char* ReasonToDecline() const;
  void Decline(const std::shared_ptr<net::HttpReply>& aReply, const std::string& aWhy);

  RelayCore& m_core;
  ForwardReceiverOptions m_options;
};

} // namespace ferrytray::relay
