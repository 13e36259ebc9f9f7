#include "ferrytray/relay/request_content.hpp"

#include <algorithm> // for find, min

namespace ferrytray::relay {

namespace {

/// The parts of the prompt that other requests may share.
std::span<const PromptPart> SharedParts(const CallerRequest& aRequest)
{
  if (!aRequest.m_prompt || aRequest.m_prompt->m_parts.empty()) {
    return {};
  }
  const std::span<const PromptPart> parts = aRequest.m_prompt->m_parts;
  return parts.first(std::min(parts.size() - 1, RequestContent::kMaxParts));
}

quarantine::ContentKey KeyOf(const PromptPart& aPart, const CallerRequest& aRequest)
{
  return quarantine::KeyOf(quarantine::PartTraits{ aRequest.m_prompt->m_model, aPart.m_id });
}

} // namespace

RequestContent::RequestContent(const CallerRequest& aRequest, const fleet::ClientAccount* aAccount)
  : m_keys{ quarantine::KeyOf(
      quarantine::RequestTraits{ aAccount == nullptr ? "" : aAccount->m_name,
                                 aRequest.m_method,
                                 aRequest.m_hostName,
                                 aRequest.m_target,
                                 aRequest.m_body }) }
{
  for (const PromptPart& part : SharedParts(aRequest)) {
    const quarantine::ContentKey key = KeyOf(part, aRequest);
    if (std::find(m_keys.begin(), m_keys.end(), key) == m_keys.end()) {
      m_keys.push_back(key);
    }
  }
}

std::string DescribeContent(const quarantine::ContentKey& aContent, const CallerRequest& aRequest)
{
  for (const PromptPart& part : SharedParts(aRequest)) {
    if (KeyOf(part, aRequest) == aContent) {
      return "prompts of model " + aRequest.m_prompt->m_model + " with part " + part.m_id;
    }
  }
  return "identical requests";
}

} // namespace ferrytray::relay
