#pragma once

#include <cstddef>     // for size_t
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/error.hpp"      // for ErrorCode
#include "ferrytray/config/document.hpp" // for Document

#include <tl/expected.hpp> // for expected

namespace ferrytray::config {

/// @brief The schema version that this program writes and reads.
inline constexpr int kSchema = 1;
/// @brief Size limit of a file in bytes; larger files are rejected without parsing.
inline constexpr std::size_t kMaxFileBytes = 4U << 20U;

/// @brief An error in a file, with its position.
struct Problem
{
  base::ErrorCode m_code = base::ErrorCode::ConfigSyntax;
  std::string m_file;
  int m_line = 1;   ///< from 1
  int m_column = 1; ///< from 1
  std::string m_message;
};

using Problems = std::vector<Problem>;

/// @brief Formats a problem as "file:line:column: message (error code)".
std::string ToString(const Problem& aProblem);

/// @brief Parses a YAML configuration file. A file with an error is rejected as a whole.
/// @param aText the content of the file
/// @param aFile its name, for messages
/// @return the document, or the first problem found
///
/// @code
/// auto document = config::Parse(text, "accounts.yaml");
/// @endcode
tl::expected<Document, Problems> Parse(std::string_view aText, const std::string& aFile);

/// @brief Finds errors that depend on the other scopes in force: duplicate names and dangling
/// references.
/// @param aDocument the new content of its scope
/// @param aOthers every other scope in force
/// @param aFile its name, for messages
Problems CheckAcrossScopes(const Document& aDocument,
                           const std::vector<Document>& aOthers,
                           const std::string& aFile);

} // namespace ferrytray::config
