#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for int32_t, uint64_t
#include <map>         // for map
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::peers {

/// @brief Hash of an incarnation. A replacement is final, so the key is wider than an EndpointTag:
/// among 3,000 endpoints two share a key with a probability of 10^-12.
using IncarnationKey = std::uint64_t;

IncarnationKey KeyOf(std::string_view aIncarnation);

/// @brief Another endpoint answered at an incarnation's address.
struct ReplacementNotice
{
  IncarnationKey m_incarnation = 0;
  std::int32_t m_ageMillis = 0; ///< since a host found it; hosts have no common clock
};

using ReplacementNotices = std::vector<ReplacementNotice>;

struct ReplacementTableOptions
{
  /// How long notices are forwarded: after this the directory no longer lists a crashed endpoint.
  base::Duration m_retention = std::chrono::milliseconds(5000);
  /// Notices kept at a time; further ones are dropped to bound memory.
  std::size_t m_maxEntries = 4096;
};

/// @brief Incarnations that a host found to be replaced. Does no I/O.
///
/// An endpoint that has restarted at its address rejects requests to its former incarnation. The
/// directory shows the restart only seconds later; until then each host would find out by a
/// rejected request of its own, and the retries of those count against the budget that all hosts
/// share.
class ReplacementTable
{
public:
  explicit ReplacementTable(ReplacementTableOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @return whether the notice was new
  bool OnNotice(const ReplacementNotice& aNotice, base::TimePoint aNow);
  /// @brief Returns all known replacements, to forward them.
  [[nodiscard]] ReplacementNotices Notices(base::TimePoint aNow) const;
  /// @brief Drops replacements that are older than the retention.
  void Expire(base::TimePoint aNow);

private:
  ReplacementTableOptions m_options;
  std::map<IncarnationKey, base::TimePoint> m_foundAt;
};

} // namespace ferrytray::peers
