#pragma once

#include <functional> // for function
#include <memory>     // for unique_ptr

#include "ferrytray/base/error.hpp"   // for Result
#include "ferrytray/gate/options.hpp" // for GateOptions
#include "ferrytray/net/loop.hpp"     // for Loop

namespace ferrytray::gate {

/// @brief The caller-facing daemon of a host: authentication, limits, routing, at-most-once runs.
class Gate
{
public:
  static base::Result<std::unique_ptr<Gate>> Create(net::Loop& aLoop, const GateOptions& aOptions);
  virtual ~Gate() = default;
  [[nodiscard]] virtual net::Address ListenAddress() const = 0;
  /// @brief Planned stop: reports not ready, finishes open streams, transfers the tickets, then
  /// calls aDone.
  virtual void Drain(std::function<void()> aDone) = 0;
};

} // namespace ferrytray::gate
