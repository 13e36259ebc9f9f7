#pragma once

#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string_view> // for string_view

#include "ferrytray/base/error.hpp"  // for Result
#include "ferrytray/net/address.hpp" // for Address
#include "ferrytray/net/loop.hpp"    // for Loop

namespace ferrytray::net {

using DatagramHandler = std::function<void(const Address& aFrom, std::string_view aBytes)>;

/// @brief A UDP socket on one event loop.
class DatagramSocket
{
public:
  static base::Result<std::unique_ptr<DatagramSocket>> Create(Loop& aLoop,
                                                              const Address& aListen,
                                                              DatagramHandler aHandler);
  virtual ~DatagramSocket() = default;
  /// @brief Sends a datagram. Errors are ignored and delivery is not guaranteed.
  virtual void SendTo(const Address& aTo, std::string_view aBytes) = 0;
  [[nodiscard]] virtual Address ListenAddress() const = 0;
};

} // namespace ferrytray::net
