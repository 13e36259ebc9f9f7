#pragma once

#include <cstdint>     // for uint32_t
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/error.hpp"       // for Result
#include "ferrytray/peers/load_table.hpp" // for EndpointTag

namespace ferrytray::peers {

/// @brief One host asks the one that gives out the long prompts of a zone's engines for an engine.
struct PlacementRequest
{
  std::string m_host; ///< that asks
  std::string m_service;
  std::string m_model;
  std::string m_zone;                     ///< of the engines to choose from; empty: all
  std::string m_key;                      ///< of the prompt's long shared part
  std::uint32_t m_tokens = 0;             ///< of the whole prompt
  std::uint32_t m_uncachedTokens = 0;     ///< that no store holds
  std::uint32_t m_unsharedTokens = 0;     ///< shared with no other request
  std::vector<EndpointTag> m_unreachable; ///< engines that the asking host cannot use now
  /// A prompt that found nothing waiting: tokens read, and the time until it began; 0 for none.
  std::uint32_t m_sampleTokens = 0;
  std::uint32_t m_sampleMillis = 0;
};

/// @brief The answer; incarnations, empty for none.
struct PlacementReply
{
  std::string m_engine;
  std::string m_prefixHolder; ///< another engine that read the shared part lately
  bool m_idle = false;        ///< nothing waits at the engine
  bool m_memoryFull = false;  ///< the memory of all engines is taken
};

std::string Encode(const PlacementRequest& aRequest);
std::string Encode(const PlacementReply& aReply);
/// @return PeerMalformed when the bytes are anything else
base::Result<PlacementRequest> DecodePlacementRequest(std::string_view aBytes);
base::Result<PlacementReply> DecodePlacementReply(std::string_view aBytes);

} // namespace ferrytray::peers
