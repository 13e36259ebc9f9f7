#pragma once

#include <string> // for string

#include <nlohmann/json.hpp> // for json

#include "ferrytray/base/digest.hpp" // for HashWithSeed, ToHex

namespace standins {

/// A deterministic hash of a text, equal in every engine process.
inline std::string Hash(const std::string& aSeed, const std::string& aText)
{
  using namespace ferrytray;
  return base::ToHex(base::HashWithSeed(base::HashWithSeed({}, aSeed), aText));
}

/// Formats JSON as a server-sent event.
inline std::string ToServerSentEvent(const nlohmann::json& aEvent)
{
  return "data: " + aEvent.dump() + "\n\n";
}

} // namespace standins
