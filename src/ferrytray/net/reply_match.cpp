#include "ferrytray/net/reply_match.hpp"

#include <strings.h> // for strcasecmp

namespace ferrytray::net {

bool MayMatch(const ReplyMatch& aMatch, const Headers& aHeaders)
{
  const auto* echoed = std::get_if<EchoedHeader>(&aMatch);
  if (echoed == nullptr) {
    return true;
  }
  bool found = false;
  for (const auto& [name, value] : aHeaders) {
    if (strcasecmp(name.c_str(), echoed->m_name.c_str()) == 0) {
      if (value != echoed->m_value) {
        return false;
      }
      found = true;
    }
  }
  return found;
}

} // namespace ferrytray::net
