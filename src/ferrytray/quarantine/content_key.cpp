#include "ferrytray/quarantine/content_key.hpp"

namespace ferrytray::quarantine {

namespace {

/// Set in the keys of parts, cleared in those of whole requests.
constexpr std::uint64_t kPartBit = 1;

} // namespace

ContentKey KeyOf(const RequestTraits& aTraits)
{
  // Each hash seeds the next, so that moving text from one field to another changes the key.
  ContentKey key = base::HashWithSeed({}, aTraits.m_account);
  key = base::HashWithSeed(key, aTraits.m_method);
  key = base::HashWithSeed(key, aTraits.m_hostName);
  key = base::HashWithSeed(key, aTraits.m_target);
  key = base::HashWithSeed(key, aTraits.m_body);
  key.m_low &= ~kPartBit;
  return key;
}

ContentKey KeyOf(const PartTraits& aTraits)
{
  ContentKey key = base::HashWithSeed({}, aTraits.m_model);
  key = base::HashWithSeed(key, aTraits.m_id);
  key.m_low |= kPartBit;
  return key;
}

bool IsPart(const ContentKey& aContent)
{
  return (aContent.m_low & kPartBit) != 0;
}

} // namespace ferrytray::quarantine
