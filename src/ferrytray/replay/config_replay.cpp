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

/// Returns the accepted offset that a record refers to: the file it replaces or renews.
LogOffset ReferencedOffset(const ConfigRecord& aRecord)
{
  if (const auto* file = std::get_if<FileRecord>(&aRecord)) {
    return file->m_baseOffset;
  }
  return std::get<RenewRecord>(aRecord).m_acceptedOffset;
}

} // namespace

std::vector<ReplayOutcome> ConfigReplay::Bootstrap(std::span<const LoggedRecord> aRecords)
{
  if (!aRecords.empty()) {
    const LogOffset first = aRecords.front().m_offset;
    for (const LoggedRecord& logged : aRecords) {
      const LogOffset referenced = ReferencedOffset(logged.m_record);
      ScopeState& scope = m_scopes[ScopeOf(logged.m_record)];
      scope.m_scope = ScopeOf(logged.m_record);
      if (referenced < first) {
        SetAcceptedOffset(scope, std::max(scope.m_acceptedOffset, referenced));
      }
    }
  }
  std::vector<ReplayOutcome> outcomes;
  outcomes.reserve(aRecords.size());
  for (const LoggedRecord& logged : aRecords) {
    outcomes.push_back(Apply(logged));
  }
  return outcomes;
}

ReplayOutcome ConfigReplay::Apply(const LoggedRecord& aRecord)
{
  if (aRecord.m_offset <= m_position) {
    return Unchanged{};
  }
  m_position = aRecord.m_offset;
  return std::visit([&](const auto& aBody) { return ApplyRecord(aRecord, aBody); },
                    aRecord.m_record);
}

ReplayOutcome ConfigReplay::ApplyRecord(const LoggedRecord& aLogged, const FileRecord& aFile)
{
  ScopeState& scope = m_scopes[aFile.m_scope];
  scope.m_scope = aFile.m_scope;
  if (aFile.m_baseOffset != scope.m_acceptedOffset) {
    return Rejected{ aFile.m_id,
                     aFile.m_scope,
                     scope.m_acceptedOffset,
                     "its base is not the accepted file of the scope" };
  }
  if (base::Sha256Hex(aFile.m_body) != aFile.m_digest) {
    return Rejected{
      aFile.m_id, aFile.m_scope, scope.m_acceptedOffset, "the digest does not match the body"
    };
  }
  Install(scope, aLogged.m_offset, aFile.m_digest, aFile.m_body, aFile.m_schema);
  scope.m_newestCopyTime = aLogged.m_time;
  return Accepted{ aFile.m_id, aFile.m_scope };
}

ReplayOutcome ConfigReplay::ApplyRecord(const LoggedRecord& aLogged, const RenewRecord& aRenew)
{
  ScopeState& scope = m_scopes[aRenew.m_scope];
  scope.m_scope = aRenew.m_scope;
  const bool stale = aRenew.m_acceptedOffset < scope.m_acceptedOffset;
  const bool impossible = aRenew.m_acceptedOffset >= aLogged.m_offset;
  if (stale || impossible || base::Sha256Hex(aRenew.m_body) != aRenew.m_digest) {
    return Unchanged{};
  }
  scope.m_newestCopyTime = aLogged.m_time;
  const bool alreadyInForce =
    scope.m_acceptedOffset == aRenew.m_acceptedOffset && scope.m_digest == aRenew.m_digest;
  if (alreadyInForce) {
    return Unchanged{};
  }
  Install(scope, aRenew.m_acceptedOffset, aRenew.m_digest, aRenew.m_body, aRenew.m_schema);
  return Accepted{ "", aRenew.m_scope };
}

void ConfigReplay::SetAcceptedOffset(ScopeState& aScope, LogOffset aAcceptedOffset)
{
  m_scopeByOffset.erase(aScope.m_acceptedOffset);
  aScope.m_acceptedOffset = aAcceptedOffset;
  if (aAcceptedOffset > 0) {
    m_scopeByOffset[aAcceptedOffset] = aScope.m_scope;
  }
}

void ConfigReplay::Install(ScopeState& aScope,
                           LogOffset aAcceptedOffset,
                           const std::string& aDigest,
                           const std::string& aBody,
                           int aSchema)
{
  SetAcceptedOffset(aScope, aAcceptedOffset);
  aScope.m_digest = aDigest;
  aScope.m_schemaSupported = aSchema <= m_newestSupportedSchema;
  if (aScope.m_schemaSupported) {
    aScope.m_body = aBody;
  }
}

std::vector<std::string> ConfigReplay::Merge(LogOffset aPosition,
                                             std::span<const ScopeState> aScopes)
{
  std::vector<std::string> changed;
  if (aPosition <= m_position) {
    return changed;
  }
  m_position = aPosition;
  for (const ScopeState& remote : aScopes) {
    ScopeState& local = m_scopes[remote.m_scope];
    local.m_scope = remote.m_scope;
    if (remote.m_acceptedOffset <= local.m_acceptedOffset) {
      continue;
    }
    SetAcceptedOffset(local, remote.m_acceptedOffset);
    local = remote;
    changed.push_back(remote.m_scope);
  }
  return changed;
}

const ScopeState* ConfigReplay::Find(const std::string& aScope) const
{
  const auto found = m_scopes.find(aScope);
  return found == m_scopes.end() ? nullptr : &found->second;
}

std::vector<ScopeState> ConfigReplay::AcceptedSince(LogOffset aOffset) const
{
  std::vector<ScopeState> newer;
  for (auto it = m_scopeByOffset.upper_bound(aOffset); it != m_scopeByOffset.end(); ++it) {
    newer.push_back(m_scopes.at(it->second));
  }
  return newer;
}

bool ConfigReplay::HasUnsupportedSchema() const
{
  return std::any_of(m_scopes.begin(), m_scopes.end(), [](const auto& aEntry) {
    return !aEntry.second.m_schemaSupported;
  });
}

std::vector<RenewRecord> ConfigReplay::DueRenewals(base::Duration aNow,
                                                   base::Duration aMinAge) const
{
  std::vector<RenewRecord> due;
  for (const auto& [name, scope] : m_scopes) {
    // Files with an unsupported schema are renewed by hosts that support it.
    if (scope.m_acceptedOffset == 0 || !scope.m_schemaSupported || scope.m_body.empty() ||
        aNow - scope.m_newestCopyTime < aMinAge) {
      continue;
    }
    due.push_back({ scope.m_scope, scope.m_acceptedOffset, scope.m_digest, scope.m_body, 1 });
  }
  return due;
}

} // namespace ferrytray::replay
