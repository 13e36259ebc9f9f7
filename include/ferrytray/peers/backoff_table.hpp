#pragma once

#include <cstddef> // for size_t
#include <cstdint> // for int32_t, uint64_t
#include <map>     // for map
#include <vector>  // for vector

#include "ferrytray/base/time.hpp"               // for Duration, TimePoint
#include "ferrytray/peers/incarnation_table.hpp" // for IncarnationKey

namespace ferrytray::peers {

/// @brief Hash of a host's name.
using HostKey = std::uint64_t;

/// @brief An endpoint has requested a backoff from a host. The end is relative to the writing of
/// the message, as hosts have no common clock.
struct BackoffNotice
{
  IncarnationKey m_endpoint = 0;
  HostKey m_host = 0; ///< that the endpoint has refused
  std::int32_t m_endsInMillis = 0;
};

using BackoffNotices = std::vector<BackoffNotice>;

struct BackoffTableOptions
{
  /// Longer backoffs are shortened to this: the endpoint may accept requests of other hosts.
  base::Duration m_maxDuration = std::chrono::seconds(10);
  /// A notice extends the known end only if it is later by this, since an end that is forwarded is
  /// late by the time that messages take.
  base::Duration m_endTolerance = std::chrono::milliseconds(500);
  /// Notices per message; those that end last are sent.
  std::size_t m_maxNotices = 256;
  /// Endpoints kept at a time; further ones are dropped to bound memory.
  std::size_t m_maxEntries = 4096;
};

/// @brief Endpoints that have requested backoffs from several hosts. Does no I/O.
///
/// An overloaded endpoint refuses each host separately. A host that sends a request only every few
/// seconds would be refused by each such endpoint in turn, and its retries would use up the retry
/// budget. The report of one host does not suffice: the endpoint may have room for others.
class BackoffTable
{
public:
  explicit BackoffTable(BackoffTableOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  void OnNotice(const BackoffNotice& aNotice, base::TimePoint aNow);
  /// @brief Whether at least two hosts have been asked for backoffs that have not ended.
  [[nodiscard]] bool IsInBackoff(IncarnationKey aEndpoint, base::TimePoint aNow) const;
  /// @brief Returns the notices to forward in one message.
  [[nodiscard]] BackoffNotices Notices(base::TimePoint aNow) const;
  /// @brief Drops backoffs that have ended.
  void Expire(base::TimePoint aNow);
  [[nodiscard]] bool Empty() const { return m_backoffs.empty(); }

private:
  struct Report
  {
    HostKey m_host = 0;
    base::TimePoint m_until{};
  };

  BackoffTableOptions m_options;
  std::map<IncarnationKey, std::vector<Report>> m_backoffs; ///< the two reports that end last
};

} // namespace ferrytray::peers
