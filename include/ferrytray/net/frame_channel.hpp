#pragma once

#include <cstddef>     // for size_t
#include <functional>  // for function
#include <memory>      // for shared_ptr, unique_ptr
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/error.hpp"  // for Result
#include "ferrytray/net/address.hpp" // for Address
#include "ferrytray/net/loop.hpp"    // for Loop

namespace ferrytray::net {

/// @brief Maximum length of a frame (bytes). A longer one closes the connection.
inline constexpr std::size_t kMaxFrameBytes = 64U << 20U;

/// @brief One end of a TCP connection that carries length-prefixed frames.
class FrameChannel
{
public:
  virtual ~FrameChannel() = default;
  virtual void Send(std::string_view aFrame) = 0;
  virtual void Close() = 0;
  [[nodiscard]] virtual bool IsOpen() const = 0;
  /// @brief The peer's IP address, or empty if the socket is not connected.
  [[nodiscard]] virtual std::string RemoteIp() const = 0;
  virtual void OnFrame(std::function<void(std::string_view)> aCall) = 0;
  virtual void OnClosed(std::function<void()> aCall) = 0;
};

using ChannelHandler = std::function<void(std::shared_ptr<FrameChannel>)>;

/// @brief Accepts TCP connections as frame channels.
class FrameServer
{
public:
  static base::Result<std::unique_ptr<FrameServer>> Create(Loop& aLoop,
                                                           const Address& aListen,
                                                           ChannelHandler aHandler);
  virtual ~FrameServer() = default;
  [[nodiscard]] virtual Address ListenAddress() const = 0;
};

/// @brief Connects to a server. The handler receives the channel, or null on failure.
void ConnectFrameChannel(Loop& aLoop, const Address& aTo, ChannelHandler aHandler);

} // namespace ferrytray::net
