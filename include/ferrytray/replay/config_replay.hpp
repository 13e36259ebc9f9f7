#pragma once

#include <cstddef> // for size_t
#include <map>     // for map
#include <span>    // for span
#include <string>  // for string
#include <variant> // for variant
#include <vector>  // for vector

#include "ferrytray/base/time.hpp"     // for Duration
#include "ferrytray/replay/record.hpp" // for ConfigRecord, LogOffset

namespace ferrytray::replay {

/// @brief The accepted configuration of one scope.
struct ScopeState
{
  std::string m_scope;
  LogOffset m_acceptedOffset = 0; ///< log offset of the accepted file; 0 if there is none
  std::string m_digest;
  std::string m_body;
  base::Duration m_newestCopyTime{}; ///< platform time of the newest copy of the file in the log
  bool m_schemaSupported = true;     ///< if false, m_body is the last one with a supported schema
};

/// @brief The file was accepted and is now in force.
struct Accepted
{
  std::string m_id;
  std::string m_scope;
};
/// @brief The file does not replace the accepted one (a concurrent file was first), or its body
/// does not match its digest.
struct Rejected
{
  std::string m_id;
  std::string m_scope;
  LogOffset m_expectedBaseOffset = 0;
  std::string m_reason;
};
/// @brief The record was applied before, or is a renewal that does not change the accepted file.
struct Unchanged
{
};

using ReplayOutcome = std::variant<Accepted, Rejected, Unchanged>;

/// @brief A record with its log offset and platform time.
struct LoggedRecord
{
  LogOffset m_offset = 0;
  base::Duration m_time{};
  ConfigRecord m_record;
};

/// @brief Replays the configuration stream; every reader reaches the same state.
///
/// A file is accepted if and only if its base is the accepted file of its scope and its body
/// matches its digest. The content is not looked at, so hosts of different program versions agree;
/// it is validated before the file is appended. The cost of a change depends on the size of the
/// change, not on that of the whole state.
class ConfigReplay
{
public:
  /// @param aNewestSupportedSchema files with a newer schema are accepted, but the previous content
  /// stays in use
  explicit ConfigReplay(int aNewestSupportedSchema = 1)
    : m_newestSupportedSchema(aNewestSupportedSchema)
  {
  }

  /// @brief Initialises the state from the records that the log still retains.
  ///
  /// If the accepted file of a scope precedes the first retained record, its offset is the highest
  /// such offset that any retained record renews or replaces. A stale renewal, as written by a host
  /// that was paused, is therefore not taken for the accepted file.
  /// @return one outcome per record
  std::vector<ReplayOutcome> Bootstrap(std::span<const LoggedRecord> aRecords);

  /// @brief Applies the next record. Records at or below Position() are ignored.
  ReplayOutcome Apply(const LoggedRecord& aRecord);

  /// @brief Merges a peer's state if its position is newer; only its newer scopes are taken over.
  /// @return the scopes that changed
  std::vector<std::string> Merge(LogOffset aPosition, std::span<const ScopeState> aScopes);

  /// @brief Returns the offset up to which the log was replayed.
  [[nodiscard]] LogOffset Position() const { return m_position; }
  [[nodiscard]] const ScopeState* Find(const std::string& aScope) const;
  [[nodiscard]] const std::map<std::string, ScopeState>& Scopes() const { return m_scopes; }
  /// @brief Returns the scopes whose file was accepted after an offset.
  [[nodiscard]] std::vector<ScopeState> AcceptedSince(LogOffset aOffset) const;
  /// @brief Returns whether a scope's file needs a newer program; the host then reports itself as
  /// behind.
  [[nodiscard]] bool HasUnsupportedSchema() const;
  /// @brief Returns renewals for the scopes whose newest copy in the log has at least this age.
  [[nodiscard]] std::vector<RenewRecord> DueRenewals(base::Duration aNow,
                                                     base::Duration aMinAge) const;

private:
  ReplayOutcome ApplyRecord(const LoggedRecord& aLogged, const FileRecord& aFile);
  ReplayOutcome ApplyRecord(const LoggedRecord& aLogged, const RenewRecord& aRenew);
  void SetAcceptedOffset(ScopeState& aScope, LogOffset aAcceptedOffset);
  void Install(ScopeState& aScope,
               LogOffset aAcceptedOffset,
               const std::string& aDigest,
               const std::string& aBody,
               int aSchema);

  int m_newestSupportedSchema;
  LogOffset m_position = 0;
  std::map<std::string, ScopeState> m_scopes;
  /// Makes the cost of AcceptedSince proportional to its result.
  std::map<LogOffset, std::string> m_scopeByOffset;
};

} // namespace ferrytray::replay
