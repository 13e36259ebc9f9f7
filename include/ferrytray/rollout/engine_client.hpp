#pragma once

#include <cstdint>    // for uint64_t, uint8_t
#include <functional> // for function
#include <optional>   // for optional
#include <string>     // for string

#include "ferrytray/fleet/directory.hpp" // for Endpoint, WeightVersion

namespace ferrytray::rollout {

/// @brief What an engine says of itself; some hundred milliseconds old.
struct EngineState
{
  std::optional<fleet::WeightVersion> m_weights; ///< of the model that was asked about
  bool m_busy = false;                           ///< an order is in progress
  std::uint64_t m_ordersTaken = 0;               ///< since the engine started
};

/// @brief How an engine answered an order.
enum class OrderReply : std::uint8_t
{
  Accepted,      ///< it is being carried out
  AlreadyLoaded, ///< nothing had to be done
  Refused,       ///< another order is in progress, or the engine's state is not the expected one
  Unknown,       ///< no answer: it may be carried out, perhaps seconds later
};

/// @brief "Run this version", for one incarnation of an engine.
struct WeightOrder
{
  std::string m_model;
  fleet::WeightVersion m_version = 0;
  std::string m_holder;
  std::uint64_t m_fence = 0;
  std::uint64_t m_expectedOrders = 0; ///< refused if the engine has taken another number
};

/// @brief How orders reach engines.
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
