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

/// @brief What is in force for one scope.
struct ScopeState
{
  std::string m_scope;
  LogOffset m_acceptedOffset = 0; ///< the offset of the file in force
  std::string m_digest;
  std::string m_body;
  base::Duration m_newestCopyTime{}; ///< platform time of its newest copy in the log
  bool m_schemaSupported = true; ///< false: the body is the last one that this program could read
};

/// @brief The file is in force now.
struct Accepted
{
  std::string m_id;
  std::string m_scope;
};
/// @brief The file lost a race, or its bytes do not match their digest.
struct Rejected
{
  std::string m_id;
  std::string m_scope;
  LogOffset m_expectedBaseOffset = 0;
  std::string m_reason;
};
/// @brief A renewal, or a record that was seen before.
struct Unchanged
{
};

using ReplayOutcome = std::variant<Accepted, Rejected, Unchanged>;

/// @brief A record with its place and platform time.
struct LoggedRecord
{
  LogOffset m_offset = 0;
  base::Duration m_time{};
  ConfigRecord m_record;
};

/// @brief Replays the configuration stream; every reader reaches the same state.
///
/// A file is accepted iff it builds on its scope's last accepted one and matches its digest;
/// nothing else counts, so hosts of different program versions agree. The content of a file is
/// checked before it is appended. A change costs its own size, not that of the whole state.
class ConfigReplay
{
public:
  /// @param aNewestSupportedSchema files of a newer schema are accepted but keep the old content in
  /// use
  explicit ConfigReplay(int aNewestSupportedSchema = 1)
    : m_newestSupportedSchema(aNewestSupportedSchema)
  {
  }

  /// @brief Starts from what the log still keeps.
  ///
  /// A scope's state below the first kept offset is the highest one that any kept record stands
  /// for or builds on; a stale renewal (a paused host's) can then not be mistaken for it.
  /// @return one outcome a record
  std::vector<ReplayOutcome> Bootstrap(std::span<const LoggedRecord> aRecords);

  /// @brief Applies the next record. Offsets at or below Position() change nothing.
  ReplayOutcome Apply(const LoggedRecord& aRecord);

  /// @brief Takes a peer's newer state. An older one, scope by scope, changes nothing.
  /// @return the scopes that changed
  std::vector<std::string> Merge(LogOffset aPosition, std::span<const ScopeState> aScopes);

  /// @brief The offset up to which the log has been replayed.
  [[nodiscard]] LogOffset Position() const { return m_position; }
  [[nodiscard]] const ScopeState* Find(const std::string& aScope) const;
  [[nodiscard]] const std::map<std::string, ScopeState>& Scopes() const { return m_scopes; }
  /// @brief Scopes whose file was accepted above an offset.
  [[nodiscard]] std::vector<ScopeState> AcceptedSince(LogOffset aOffset) const;
  /// @brief Whether a record needs a newer program; the host then reports itself behind.
  [[nodiscard]] bool HasUnsupportedSchema() const;
  /// @brief Scopes whose newest copy in the log is older than an age.
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
  std::map<LogOffset, std::string> m_scopeByOffset; ///< so that Since costs what it gives
};

} // namespace ferrytray::replay
