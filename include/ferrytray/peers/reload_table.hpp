#pragma once

#include <cstdint> // for int32_t, uint64_t
#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "ferrytray/base/time.hpp"        // for Duration, TimePoint
#include "ferrytray/peers/load_table.hpp" // for EndpointTag

namespace ferrytray::peers {

/// @brief Announces that an engine begins no requests until a given time since it loads weights.
/// The time is relative to the writing of the message, as hosts have no common clock.
struct ReloadNotice
{
  EndpointTag m_endpoint = 0;
  std::string m_model;
  std::uint32_t m_version = 0;     ///< weights after the reload
  std::int32_t m_endsInMillis = 0; ///< negative: has ended this long ago
  std::uint64_t m_revision = 0; ///< grows with each change; the notice with the highest one applies
};

using ReloadNotices = std::vector<ReloadNotice>;

/// @brief Weights that an engine runs after an announced reload.
struct ReloadedWeights
{
  EndpointTag m_endpoint = 0;
  std::string m_model;
  std::uint32_t m_version = 0;
};

struct ReloadTableOptions
{
  /// How long an ended reload is kept so that its end reaches all hosts: two polls on the way
  /// between hosts, and one that failed.
  base::Duration m_retention = std::chrono::milliseconds(2500);
  /// A notice with a later end is rejected: loading weights takes a few seconds at most.
  base::Duration m_maxDuration = std::chrono::seconds(60);
  /// Reloads kept at a time; further ones are dropped to bound memory.
  std::size_t m_maxEntries = 4096;
};

/// @brief Engines that load weights now or are about to, by the notices of the host that orders the
/// reload. Does no I/O.
///
/// An engine rejects requests while it loads. A host sends an engine a request only every few
/// seconds, so it would detect a reload by rejections only when it is over.
class ReloadTable
{
public:
  explicit ReloadTable(ReloadTableOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @return whether the notice was applied; one that is outdated or implausible is not
  bool OnNotice(const ReloadNotice& aNotice, base::TimePoint aNow);
  /// @brief Whether the engine loads weights now.
  [[nodiscard]] bool IsReloading(EndpointTag aEndpoint, base::TimePoint aNow) const;
  /// @brief Returns the reloads that have ended since the last call.
  [[nodiscard]] std::vector<ReloadedWeights> TakeEnded(base::TimePoint aNow);
  /// @brief Returns all known reloads, to forward them.
  [[nodiscard]] ReloadNotices Notices(base::TimePoint aNow) const;
  /// @brief Drops reloads that ended longer ago than the retention.
  void Expire(base::TimePoint aNow);

private:
  struct Reload
  {
    std::string m_model;
    std::uint32_t m_version = 0;
    base::TimePoint m_endsAt;
    std::uint64_t m_revision = 0;
    bool m_endReported = false; ///< it was returned by TakeEnded()
  };

  ReloadTableOptions m_options;
  std::map<EndpointTag, Reload> m_reloads;
};

} // namespace ferrytray::peers
