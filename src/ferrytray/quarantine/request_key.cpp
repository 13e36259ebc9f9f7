#include "ferrytray/quarantine/request_key.hpp"

namespace ferrytray::quarantine {

RequestKey KeyOf(const RequestTraits& aTraits)
{
  // Each hash seeds the next, so that moving text from one field to another changes the key.
  RequestKey key = base::HashWithSeed({}, aTraits.m_account);
  key = base::HashWithSeed(key, aTraits.m_method);
  key = base::HashWithSeed(key, aTraits.m_hostName);
  key = base::HashWithSeed(key, aTraits.m_target);
  return base::HashWithSeed(key, aTraits.m_body);
}

} // namespace ferrytray::quarantine
