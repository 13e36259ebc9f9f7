#pragma once

#include <cstdint>     // for uint32_t
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/error.hpp"       // for Result
#include "ferrytray/peers/load_table.hpp" // for EndpointTag

namespace ferrytray::peers {

/// @brief Asks the host that places the long prompts of a zone's engines for an engine.
struct PlacementRequest
{
  std::string m_host; ///< the requesting host
  std::string m_service;
  std::string m_model;
  std::string m_zone;                     ///< of the candidate engines; empty: any zone
  std::string m_key;                      ///< of the prompt's long shared prefix
  std::uint32_t m_tokens = 0;             ///< in the whole prompt
  std::uint32_t m_uncachedTokens = 0;     ///< that no KV store holds
  std::uint32_t m_unsharedTokens = 0;     ///< shared with no other request
  std::vector<EndpointTag> m_unreachable; ///< engines that the requesting host cannot use now
  /// Speed sample from a prompt that did not have to queue: tokens that the engine read, and the
  /// time until its answer began; 0: no sample.
  std::uint32_t m_sampleTokens = 0;
  std::uint32_t m_sampleMillis = 0;
};

/// @brief Reply to a PlacementRequest. Engines are given by incarnation; empty: none.
struct PlacementReply
{
  std::string m_engine;
  std::string m_prefixHolder; ///< another engine that read the shared prefix recently
  bool m_idle = false;        ///< no prompt is queued at the engine
  bool m_memoryFull = false;  ///< no engine has free memory
};

std::string Encode(const PlacementRequest& aRequest);
std::string Encode(const PlacementReply& aReply);
/// @return PeerMalformed if the bytes are not such a message
base::Result<PlacementRequest> DecodePlacementRequest(std::string_view aBytes);
base::Result<PlacementReply> DecodePlacementReply(std::string_view aBytes);

} // namespace ferrytray::peers
