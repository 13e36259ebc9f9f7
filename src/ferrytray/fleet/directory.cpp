#include "ferrytray/fleet/directory.hpp"

#include <algorithm> // for max
#include <utility>   // for move

namespace ferrytray::fleet {

std::string IncarnationOf(const std::string& aId, BirthTime aBorn)
{
  return aBorn == 0 ? aId : aId + "/" + std::to_string(aBorn);
}

void Directory::Upsert(Endpoint aEndpoint, base::TimePoint aNow)
{
  BirthTime& lastBirth = m_lastBirths[aEndpoint.m_id];
  if (aEndpoint.m_born < lastBirth || m_left.contains(aEndpoint.m_incarnation)) {
    return;
  }
  lastBirth = aEndpoint.m_born;
  std::string& current = m_current[aEndpoint.m_id];
  if (!current.empty() && current != aEndpoint.m_incarnation) {
    MarkGone(current);
  }
  current = aEndpoint.m_incarnation;
  const auto [found, isNew] = m_entries.try_emplace(aEndpoint.m_incarnation);
  Entry& entry = found->second;
  if (isNew) {
    entry.m_since = aNow;
    MarkReplaced(aEndpoint, aNow);
  }
  const bool wasLeaving = entry.m_endpoint.m_leaving;
  std::map<std::string, WeightVersion> believed = std::move(entry.m_endpoint.m_weights);
  std::map<std::string, WeightVersion> seen = std::move(entry.m_endpoint.m_provenWeights);
  entry.m_endpoint = std::move(aEndpoint);
  entry.m_endpoint.m_leaving = entry.m_endpoint.m_leaving || wasLeaving;
  entry.m_endpoint.m_provenWeights = std::move(seen);
  for (auto& [model, version] : entry.m_endpoint.m_weights) {
    WeightVersion& proven = entry.m_endpoint.m_provenWeights[model];
    const bool news = version > proven;
    proven = std::max(proven, version);
    // Entries lag: one that brings no news does not overrule a later guess.
    const auto before = believed.find(model);
    version = news || before == believed.end() ? proven : std::max(proven, before->second);
  }
  entry.m_goneAt.reset();
}

void Directory::MarkReplaced(const Endpoint& aNew, base::TimePoint aNow)
{
  std::string& atAddress = m_atAddress[aNew.m_address];
  const auto other = m_entries.find(atAddress);
  if (other != m_entries.end()) {
    const bool earlier = other->second.m_since + m_options.m_replacesAfter <= aNow;
    const bool sameService = other->second.m_endpoint.m_service == aNew.m_service;
    if (!sameService) {
      return;
    }
    if (earlier) {
      MarkGone(atAddress);
    }
  }
  atAddress = aNew.m_incarnation;
}

void Directory::Remove(const std::string& aId, base::TimePoint aNow)
{
  const auto current = m_current.find(aId);
  if (current != m_current.end()) {
    RemoveIncarnation(current->second, aNow);
  }
}

void Directory::RemoveIncarnation(const std::string& aIncarnation, base::TimePoint aNow)
{
  const auto found = m_entries.find(aIncarnation);
  if (found == m_entries.end()) {
    return;
  }
  if (found->second.m_endpoint.m_leaving) {
    MarkGone(aIncarnation);
    return;
  }
  const bool mayReturn = m_sourceBackAt && aNow < *m_sourceBackAt + m_options.m_returnWindow;
  if (mayReturn) {
    found->second.m_goneAt = *m_sourceBackAt + m_options.m_returnWindow;
    return;
  }
  m_entries.erase(found);
}

void Directory::KeepOnly(const std::set<std::string>& aListed, base::TimePoint aNow)
{
  std::vector<std::string> missing;
  for (const auto& [incarnation, entry] : m_entries) {
    if (!aListed.contains(entry.m_endpoint.m_id) && !entry.m_goneAt) {
      missing.push_back(incarnation);
    }
  }
  for (const std::string& incarnation : missing) {
    RemoveIncarnation(incarnation, aNow);
  }
}

void Directory::MarkGone(const std::string& aIncarnation)
{
  m_entries.erase(aIncarnation);
  m_left.insert(aIncarnation);
}

void Directory::NoteWeights(const std::string& aIncarnation,
                            const std::string& aModel,
                            WeightVersion aVersion)
{
  const auto found = m_entries.find(aIncarnation);
  if (found != m_entries.end()) {
    WeightVersion& proven = found->second.m_endpoint.m_provenWeights[aModel];
    proven = std::max(proven, aVersion);
    found->second.m_endpoint.m_weights[aModel] = proven;
    found->second.m_refused.erase(aModel);
  }
}

void Directory::NoteExpectedWeights(const std::string& aIncarnation,
                                    const std::string& aModel,
                                    WeightVersion aVersion)
{
  const auto found = m_entries.find(aIncarnation);
  if (found != m_entries.end()) {
    WeightVersion& believed = found->second.m_endpoint.m_weights[aModel];
    believed = std::max(believed, aVersion);
    found->second.m_refused.erase(aModel);
  }
}

void Directory::NoteOtherWeights(const std::string& aIncarnation,
                                 const std::string& aModel,
                                 WeightVersion aNamed,
                                 WeightVersion aNewest)
{
  const auto found = m_entries.find(aIncarnation);
  if (found == m_entries.end()) {
    return;
  }
  WeightVersion& believed = found->second.m_endpoint.m_weights[aModel];
  if (believed != aNamed) {
    return; // learnt since that request was sent
  }
  std::set<WeightVersion>& refused = found->second.m_refused[aModel];
  refused.insert(aNamed);
  const WeightVersion proven = found->second.m_endpoint.m_provenWeights[aModel];
  const WeightVersion newest = std::max(aNewest, proven);
  if (refused.size() > newest - proven) {
    refused = { aNamed }; // all were wrong: it has changed meanwhile
  }
  believed = Guess(refused, proven, newest);
}

WeightVersion Directory::Guess(const std::set<WeightVersion>& aRefused,
                               WeightVersion aProven,
                               WeightVersion aNewest)
{
  if (!aRefused.contains(aProven)) {
    return aProven;
  }
  WeightVersion guess = aNewest;
  while (guess > aProven && aRefused.contains(guess)) {
    --guess;
  }
  return guess;
}

bool Directory::SetEvacuated(const std::string& aZone, bool aEvacuated)
{
  return aEvacuated ? m_evacuated.insert(aZone).second : m_evacuated.erase(aZone) > 0;
}

void Directory::Expire(base::TimePoint aNow)
{
  std::erase_if(m_entries, [&](const auto& aPair) {
    return aPair.second.m_goneAt && *aPair.second.m_goneAt <= aNow;
  });
}

std::vector<const Endpoint*> Directory::Usable(const std::string& aService) const
{
  std::vector<const Endpoint*> usable;
  for (const auto& [incarnation, entry] : m_entries) {
    const Endpoint& endpoint = entry.m_endpoint;
    const bool mayGetRequests = !endpoint.m_leaving && !m_evacuated.contains(endpoint.m_zone);
    if (endpoint.m_service == aService && mayGetRequests) {
      usable.push_back(&endpoint);
    }
  }
  return usable;
}

std::vector<const Endpoint*> Directory::All() const
{
  std::vector<const Endpoint*> all;
  all.reserve(m_entries.size());
  for (const auto& [incarnation, entry] : m_entries) {
    all.push_back(&entry.m_endpoint);
  }
  return all;
}

const Endpoint* Directory::Find(const std::string& aIncarnation) const
{
  const auto found = m_entries.find(aIncarnation);
  return found == m_entries.end() ? nullptr : &found->second.m_endpoint;
}

const Endpoint* Directory::FindById(const std::string& aId) const
{
  const auto current = m_current.find(aId);
  return current == m_current.end() ? nullptr : Find(current->second);
}

} // namespace ferrytray::fleet
