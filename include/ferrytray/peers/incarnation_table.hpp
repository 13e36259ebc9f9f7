#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for int32_t, uint64_t
#include <map>         // for map
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::peers {

/// @brief Hash of an incarnation. Notices on an incarnation are final, so the key is wider than an
/// EndpointTag: among 3,000 endpoints two share a key with a probability of 10^-12.
using IncarnationKey = std::uint64_t;

IncarnationKey KeyOf(std::string_view aIncarnation);

/// @brief A final fact about an incarnation, such as that another endpoint answered at its address.
struct IncarnationNotice
{
  IncarnationKey m_incarnation = 0;
  std::int32_t m_ageMillis = 0; ///< since a host found it; hosts have no common clock
};

using IncarnationNotices = std::vector<IncarnationNotice>;

struct IncarnationTableOptions
{
  /// How long a notice is forwarded to other hosts and accepted from them.
  base::Duration m_forwardTime = std::chrono::milliseconds(5000);
  /// How long an incarnation is kept, at least m_forwardTime.
  base::Duration m_retention = std::chrono::milliseconds(5000);
  /// Notices per message, so that a shutdown of many endpoints leaves the links to other traffic.
  /// The latest ones are sent.
  std::size_t m_maxNotices = 256;
  /// Incarnations kept at a time; further ones are dropped to bound memory.
  std::size_t m_maxEntries = 4096;
};

/// @brief Incarnations for which a final fact was found, by this host or another one. Does no I/O.
///
/// The directory shows a restart or a shutdown only seconds later. Until then each host would find
/// out by a request of its own.
class IncarnationTable
{
public:
  explicit IncarnationTable(IncarnationTableOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @return whether the notice was new
  bool OnNotice(const IncarnationNotice& aNotice, base::TimePoint aNow);
  [[nodiscard]] bool Contains(IncarnationKey aIncarnation) const
  {
    return m_foundAt.contains(aIncarnation);
  }
  [[nodiscard]] bool Empty() const { return m_foundAt.empty(); }
  /// @brief Returns the notices to forward in one message.
  [[nodiscard]] IncarnationNotices Notices(base::TimePoint aNow) const;
  /// @brief Drops incarnations that are older than the retention.
  void Expire(base::TimePoint aNow);

private:
  IncarnationTableOptions m_options;
  std::map<IncarnationKey, base::TimePoint> m_foundAt;
};

} // namespace ferrytray::peers
