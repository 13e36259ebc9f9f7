#pragma once

#include <cstdint>    // for uint64_t, uint8_t
#include <functional> // for function
#include <optional>   // for optional
#include <string>     // for string

#include "ferrytray/fleet/directory.hpp" // for Endpoint, WeightVersion

namespace ferrytray::rollout {

/// @brief State reported by an engine; some hundred milliseconds old.
struct EngineState
{
  std::optional<fleet::WeightVersion> m_weights; ///< of the queried model
  bool m_busy = false;                           ///< an order is in progress
  std::uint64_t m_ordersTaken = 0;               ///< since the engine started
};

/// @brief Reply of an engine to an order.
enum class OrderReply : std::uint8_t
{
  Accepted,      ///< the engine is executing it
  AlreadyLoaded, ///< the engine already has the ordered version
  Refused,       ///< another order is in progress, or the engine's state is not the expected one
  Unknown,       ///< no reply: the order may still be executed, possibly seconds later
};

/// @brief Orders one incarnation of an engine to load a weight version.
struct WeightOrder
{
  std::string m_model;
  fleet::WeightVersion m_version = 0;
  std::string m_holder;
  std::uint64_t m_fence = 0;
  std::uint64_t m_expectedOrders = 0; ///< the engine refuses the order if its own count differs
};

/// @brief Queries the state of engines and sends them orders.
class EngineClient
{
public:
  virtual ~EngineClient() = default;
  virtual void ReadState(const fleet::Endpoint& aEngine,
                         const std::string& aModel,
                         std::function<void(std::optional<EngineState>)> aDone) = 0;
  virtual void Send(const fleet::Endpoint& aEngine,
                    const WeightOrder& aOrder,
                    std::function<void(OrderReply)> aDone) = 0;
};

} // namespace ferrytray::rollout
