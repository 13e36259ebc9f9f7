#pragma once

#include <string> // for string

#include <nlohmann/json.hpp> // for json

#include "ferrytray/base/digest.hpp" // for HashWithSeed, ToHex

namespace standins {

/// What an engine derives from a text; the same wherever it is computed.
inline std::string Hash(const std::string& aSeed, const std::string& aText)
{
  using namespace ferrytray;
  return base::ToHex(base::HashWithSeed(base::HashWithSeed({}, aSeed), aText));
}

/// One event of an answer that is streamed.
inline std::string ToServerSentEvent(const nlohmann::json& aEvent)
{
  return "data: " + aEvent.dump() + "\n\n";
}

} // namespace standins
