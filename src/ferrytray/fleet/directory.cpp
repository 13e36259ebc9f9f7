#include "ferrytray/fleet/directory.hpp"

#include <algorithm> // for max, min
#include <utility>   // for exchange, move

namespace ferrytray::fleet {

std::string IncarnationOf(const std::string& aId, StartTime aStartTime)
{
  return aStartTime == 0 ? aId : aId + "/" + std::to_string(aStartTime);
}

void Directory::Upsert(Endpoint aEndpoint, base::TimePoint aNow)
{
  StartTime& lastStartTime = m_lastStartTimes[aEndpoint.m_id];
  if (aEndpoint.m_startTime < lastStartTime || m_gone.contains(aEndpoint.m_incarnation)) {
    return;
  }
  lastStartTime = aEndpoint.m_startTime;
  m_usable.clear();
  std::string& current = m_currentById[aEndpoint.m_id];
  if (!current.empty() && current != aEndpoint.m_incarnation) {
    MarkGone(current);
  }
  current = aEndpoint.m_incarnation;
  const auto [found, isNew] = m_entries.try_emplace(aEndpoint.m_incarnation);
  Entry& entry = found->second;
  if (isNew) {
    entry.m_listedSince = aNow;
    MarkReplaced(aEndpoint, aNow);
  }
  const bool wasLeaving = entry.m_endpoint.m_leaving;
  std::map<std::string, WeightVersion> assumed = std::move(entry.m_endpoint.m_weights);
  std::map<std::string, WeightVersion> provenWeights = std::move(entry.m_endpoint.m_provenWeights);
  entry.m_endpoint = std::move(aEndpoint);
  entry.m_endpoint.m_leaving = entry.m_endpoint.m_leaving || wasLeaving;
  entry.m_endpoint.m_provenWeights = std::move(provenWeights);
  for (auto& [model, version] : entry.m_endpoint.m_weights) {
    WeightVersion& proven = entry.m_endpoint.m_provenWeights[model];
    const bool isNewer = version > proven;
    proven = std::max(proven, version);
    // Entries lag behind: one without a newer version does not override a later guess.
    const auto assumption = assumed.find(model);
    version =
      isNewer || assumption == assumed.end() ? proven : std::max(proven, assumption->second);
  }
  if (std::exchange(entry.m_removeAt, std::nullopt)) {
    entry.m_returnedAt = aNow;
  }
  m_missing.erase(current);
}

void Directory::MarkReplaced(const Endpoint& aNew, base::TimePoint aNow)
{
  std::string& listedIncarnation = m_incarnationByAddress[aNew.m_address];
  const auto other = m_entries.find(listedIncarnation);
  if (other != m_entries.end()) {
    const bool listedEarlier = other->second.m_listedSince + m_options.m_replacementDelay <= aNow;
    const bool sameService = other->second.m_endpoint.m_service == aNew.m_service;
    if (!sameService) {
      return;
    }
    if (listedEarlier) {
      MarkGone(listedIncarnation);
    }
  }
  listedIncarnation = aNew.m_incarnation;
}

base::Duration Directory::Remove(const std::string& aId, base::TimePoint aNow)
{
  const auto current = m_currentById.find(aId);
  return current == m_currentById.end() ? base::Duration::zero()
                                        : RemoveIncarnation(current->second, aNow);
}

base::Duration Directory::RemoveIncarnation(const std::string& aIncarnation, base::TimePoint aNow)
{
  const auto found = m_entries.find(aIncarnation);
  if (found == m_entries.end()) {
    return {};
  }
  if (found->second.m_endpoint.m_leaving) {
    MarkGone(aIncarnation);
    return {};
  }
  if (!MayReturn(found->second, aNow)) {
    Erase(aIncarnation);
    return {};
  }
  std::optional<base::TimePoint>& removeAt = found->second.m_removeAt;
  const base::TimePoint windowEnd = *m_outageEnd + m_options.m_returnWindow;
  removeAt = std::min(removeAt.value_or(windowEnd), windowEnd);
  m_missing.insert(aIncarnation);
  return *removeAt - aNow;
}

bool Directory::MayReturn(const Entry& aEntry, base::TimePoint aNow) const
{
  const bool inWindow = m_outageEnd && aNow < *m_outageEnd + m_options.m_returnWindow;
  const bool hasReturned = aEntry.m_returnedAt && *aEntry.m_returnedAt >= *m_outageEnd;
  return inWindow && !hasReturned;
}

void Directory::SetOutageEnd(std::optional<base::TimePoint> aAt)
{
  m_outageEnd = aAt;
  const base::TimePoint windowEnd = aAt ? *aAt + m_options.m_returnWindow : base::TimePoint::min();
  for (const std::string& incarnation : m_missing) {
    std::optional<base::TimePoint>& removeAt = m_entries.at(incarnation).m_removeAt;
    removeAt = std::min(*removeAt, windowEnd);
  }
}

void Directory::Erase(const std::string& aIncarnation)
{
  m_usable.clear();
  m_missing.erase(aIncarnation);
  m_entries.erase(aIncarnation);
}

void Directory::RemoveUnlisted(const std::set<std::string>& aListed, base::TimePoint aNow)
{
  std::vector<std::string> missing;
  for (const auto& [incarnation, entry] : m_entries) {
    if (!aListed.contains(entry.m_endpoint.m_id) && !entry.m_removeAt) {
      missing.push_back(incarnation);
    }
  }
  for (const std::string& incarnation : missing) {
    RemoveIncarnation(incarnation, aNow);
  }
}

bool Directory::MarkLeaving(const std::string& aIncarnation)
{
  const auto found = m_entries.find(aIncarnation);
  if (found == m_entries.end()) {
    m_gone.insert(aIncarnation);
    return false;
  }
  if (std::exchange(found->second.m_endpoint.m_leaving, true)) {
    return false;
  }
  m_usable.clear();
  return true;
}

void Directory::MarkGone(const std::string& aIncarnation)
{
  m_gone.insert(aIncarnation);
  Erase(aIncarnation); // last, since the name may be a part of the entry
}

void Directory::NoteProvenWeights(const std::string& aIncarnation,
                                  const std::string& aModel,
                                  WeightVersion aVersion)
{
  const auto found = m_entries.find(aIncarnation);
  if (found != m_entries.end()) {
    WeightVersion& proven = found->second.m_endpoint.m_provenWeights[aModel];
    proven = std::max(proven, aVersion);
    found->second.m_endpoint.m_weights[aModel] = proven;
    found->second.m_refusedGuesses.erase(aModel);
  }
}

void Directory::NoteExpectedWeights(const std::string& aIncarnation,
                                    const std::string& aModel,
                                    WeightVersion aVersion)
{
  const auto found = m_entries.find(aIncarnation);
  if (found != m_entries.end()) {
    WeightVersion& assumed = found->second.m_endpoint.m_weights[aModel];
    assumed = std::max(assumed, aVersion);
    found->second.m_refusedGuesses.erase(aModel);
  }
}

void Directory::NoteWeightMismatch(const std::string& aIncarnation,
                                   const std::string& aModel,
                                   WeightVersion aNamed,
                                   WeightVersion aNewest)
{
  const auto found = m_entries.find(aIncarnation);
  if (found == m_entries.end()) {
    return;
  }
  WeightVersion& assumed = found->second.m_endpoint.m_weights[aModel];
  if (assumed != aNamed) {
    return; // the assumed version has changed since that request was sent
  }
  std::set<WeightVersion>& refused = found->second.m_refusedGuesses[aModel];
  refused.insert(aNamed);
  const WeightVersion proven = found->second.m_endpoint.m_provenWeights[aModel];
  const WeightVersion newest = std::max(aNewest, proven);
  if (refused.size() > newest - proven) {
    refused = { aNamed }; // all were refused, so the weights have changed meanwhile
  }
  assumed = Guess(refused, proven, newest);
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
  m_usable.clear();
  return aEvacuated ? m_evacuated.insert(aZone).second : m_evacuated.erase(aZone) > 0;
}

void Directory::Expire(base::TimePoint aNow)
{
  std::vector<std::string> expired;
  for (const std::string& incarnation : m_missing) {
    if (const auto found = m_entries.find(incarnation);
        found != m_entries.end() && *found->second.m_removeAt <= aNow) {
      expired.push_back(incarnation);
    }
  }
  for (const std::string& incarnation : expired) {
    if (m_entries.at(incarnation).m_endpoint.m_leaving) {
      MarkGone(incarnation);
    } else {
      Erase(incarnation);
    }
  }
}

const UsableEndpoints& Directory::UsableOf(const std::string& aService) const
{
  const auto known = m_usable.find(aService);
  if (known != m_usable.end()) {
    return known->second;
  }
  std::vector<const Endpoint*> usable;
  for (const auto& [incarnation, entry] : m_entries) {
    const Endpoint& endpoint = entry.m_endpoint;
    if (endpoint.m_service == aService && MayGetRequests(endpoint)) {
      usable.push_back(&endpoint);
    }
  }
  return m_usable.emplace(aService, UsableEndpoints(std::move(usable))).first->second;
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
  const auto current = m_currentById.find(aId);
  return current == m_currentById.end() ? nullptr : Find(current->second);
}

} // namespace ferrytray::fleet
