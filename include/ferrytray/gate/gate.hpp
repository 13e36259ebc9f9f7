#pragma once

#include <functional> // for function
#include <memory>     // for unique_ptr

#include "ferrytray/base/error.hpp"   // for Result
#include "ferrytray/gate/options.hpp" // for GateOptions
#include "ferrytray/net/loop.hpp"     // for Loop

namespace ferrytray::gate {

/// @brief One host's daemon towards callers: authentication, limits, routing, at-most-once.
class Gate
{
public:
  static base::Result<std::unique_ptr<Gate>> Create(net::Loop& aLoop, const GateOptions& aOptions);
  virtual ~Gate() = default;
  [[nodiscard]] virtual net::Address ListenAddress() const = 0;
  /// @brief A planned stop: not ready, finish every stream, hand the tickets over, then call.
  virtual void Drain(std::function<void()> aDone) = 0;
};

} // namespace ferrytray::gate
