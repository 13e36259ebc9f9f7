#include "ferrytray/replay/config_replay.hpp"

#include <algorithm> // for max, any_of

#include "ferrytray/base/digest.hpp" // for Sha256Hex

namespace ferrytray::replay {

namespace {

const std::string& ScopeOf(const ConfigRecord& aRecord)
{
  return std::visit([](const auto& aRecord) -> const std::string& { return aRecord.m_scope; },
                    aRecord);
}

/// The accepted offset that a record proves to have been in force once.
LogOffset ProvenOffset(const ConfigRecord& aRecord)
{
  if (const auto* file = std::get_if<FileRecord>(&aRecord)) {
    return file->m_base;
  }
  return std::get<RenewRecord>(aRecord).m_accepted;
}

} // namespace

std::vector<ReplayOutcome> ConfigReplay::Bootstrap(std::span<const PlacedRecord> aRecords)
{
  if (!aRecords.empty()) {
    const LogOffset first = aRecords.front().m_offset;
    for (const PlacedRecord& placed : aRecords) {
      const LogOffset proven = ProvenOffset(placed.m_record);
      ScopeState& scope = m_scopes[ScopeOf(placed.m_record)];
      scope.m_scope = ScopeOf(placed.m_record);
      if (proven < first) {
        Place(scope, std::max(scope.m_accepted, proven));
      }
    }
  }
  std::vector<ReplayOutcome> outcomes;
  outcomes.reserve(aRecords.size());
  for (const PlacedRecord& placed : aRecords) {
    outcomes.push_back(Apply(placed));
  }
  return outcomes;
}

ReplayOutcome ConfigReplay::Apply(const PlacedRecord& aRecord)
{
  if (aRecord.m_offset <= m_position) {
    return Unchanged{};
  }
  m_position = aRecord.m_offset;
  return std::visit([&](const auto& aBody) { return ApplyRecord(aRecord, aBody); },
                    aRecord.m_record);
}

ReplayOutcome ConfigReplay::ApplyRecord(const PlacedRecord& aPlaced, const FileRecord& aFile)
{
  ScopeState& scope = m_scopes[aFile.m_scope];
  scope.m_scope = aFile.m_scope;
  if (aFile.m_base != scope.m_accepted) {
    return Rejected{
      aFile.m_id, aFile.m_scope, scope.m_accepted, "built on a file that is not in force"
    };
  }
  if (base::Sha256Hex(aFile.m_body) != aFile.m_digest) {
    return Rejected{ aFile.m_id, aFile.m_scope, scope.m_accepted, "digest does not match" };
  }
  Install(scope, aPlaced.m_offset, aFile.m_digest, aFile.m_body, aFile.m_schema);
  scope.m_keptSince = aPlaced.m_time;
  return Accepted{ aFile.m_id, aFile.m_scope };
}

ReplayOutcome ConfigReplay::ApplyRecord(const PlacedRecord& aPlaced, const RenewRecord& aRenew)
{
  ScopeState& scope = m_scopes[aRenew.m_scope];
  scope.m_scope = aRenew.m_scope;
  const bool stale = aRenew.m_accepted < scope.m_accepted;
  const bool impossible = aRenew.m_accepted >= aPlaced.m_offset;
  if (stale || impossible || base::Sha256Hex(aRenew.m_body) != aRenew.m_digest) {
    return Unchanged{};
  }
  scope.m_keptSince = aPlaced.m_time;
  const bool known = scope.m_accepted == aRenew.m_accepted && scope.m_digest == aRenew.m_digest;
  if (known) {
    return Unchanged{};
  }
  Install(scope, aRenew.m_accepted, aRenew.m_digest, aRenew.m_body, aRenew.m_schema);
  return Accepted{ "", aRenew.m_scope };
}

void ConfigReplay::Place(ScopeState& aScope, LogOffset aAccepted)
{
  m_byAccepted.erase(aScope.m_accepted);
  aScope.m_accepted = aAccepted;
  if (aAccepted > 0) {
    m_byAccepted[aAccepted] = aScope.m_scope;
  }
}

void ConfigReplay::Install(ScopeState& aScope,
                           LogOffset aAccepted,
                           const std::string& aDigest,
                           const std::string& aBody,
                           int aSchema)
{
  Place(aScope, aAccepted);
  aScope.m_digest = aDigest;
  aScope.m_schemaKnown = aSchema <= m_newestSchema;
  if (aScope.m_schemaKnown) {
    aScope.m_body = aBody;
  }
}

std::vector<std::string> ConfigReplay::Adopt(LogOffset aPosition,
                                             std::span<const ScopeState> aScopes)
{
  std::vector<std::string> changed;
  if (aPosition <= m_position) {
    return changed;
  }
  m_position = aPosition;
  for (const ScopeState& theirs : aScopes) {
    ScopeState& mine = m_scopes[theirs.m_scope];
    mine.m_scope = theirs.m_scope;
    if (theirs.m_accepted <= mine.m_accepted) {
      continue;
    }
    Place(mine, theirs.m_accepted);
    mine = theirs;
    changed.push_back(theirs.m_scope);
  }
  return changed;
}

const ScopeState* ConfigReplay::Find(const std::string& aScope) const
{
  const auto found = m_scopes.find(aScope);
  return found == m_scopes.end() ? nullptr : &found->second;
}

std::vector<ScopeState> ConfigReplay::Since(LogOffset aOffset) const
{
  std::vector<ScopeState> newer;
  for (auto it = m_byAccepted.upper_bound(aOffset); it != m_byAccepted.end(); ++it) {
    newer.push_back(m_scopes.at(it->second));
  }
  return newer;
}

bool ConfigReplay::IsBehind() const
{
  return std::any_of(m_scopes.begin(), m_scopes.end(), [](const auto& aEntry) {
    return !aEntry.second.m_schemaKnown;
  });
}

std::vector<RenewRecord> ConfigReplay::DueRenewals(base::Duration aNow, base::Duration aAge) const
{
  std::vector<RenewRecord> due;
  for (const auto& [name, scope] : m_scopes) {
    // A body that this program cannot read is left to hosts that can.
    if (scope.m_accepted == 0 || !scope.m_schemaKnown || scope.m_body.empty() ||
        aNow - scope.m_keptSince < aAge) {
      continue;
    }
    due.push_back({ scope.m_scope, scope.m_accepted, scope.m_digest, scope.m_body, 1 });
  }
  return due;
}

} // namespace ferrytray::replay
