#pragma once

#include <cstdint>     // for uint64_t
#include <string>      // for string
#include <string_view> // for string_view
#include <variant>     // for variant

#include "ferrytray/base/error.hpp" // for Result

namespace ferrytray::replay {

/// @brief Offset of a record in the platform's log; the first record has offset 1.
using LogOffset = std::uint64_t;

/// @brief A configuration file appended by an operator: the new content of one scope.
struct FileRecord
{
  std::string m_id; ///< random; lets the author find its own record after a lost reply
  std::string m_scope;
  LogOffset m_baseOffset = 0; ///< offset of the accepted file it replaces; 0 for a new scope
  std::string m_digest;       ///< SHA-256 of the body
  std::string m_body;         ///< YAML
  int m_schema = 1;
};

/// @brief A copy of an accepted file, appended before the previous copy leaves the log. It does not
/// change the configuration.
struct RenewRecord
{
  std::string m_scope;
  LogOffset m_acceptedOffset = 0; ///< offset at which the file was accepted
  std::string m_digest;
  std::string m_body;
  int m_schema = 1;
};

using ConfigRecord = std::variant<FileRecord, RenewRecord>;

/// @brief Encodes one log record.
std::string Encode(const ConfigRecord& aRecord);

/// @brief Decodes a record written by Encode.
/// @return the record, or PlatformMalformed for any other input
base::Result<ConfigRecord> Decode(std::string_view aBytes);

} // namespace ferrytray::replay
