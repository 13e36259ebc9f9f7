#pragma once

#include <cstdint> // for int32_t, uint64_t
#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "ferrytray/base/time.hpp"        // for Duration, TimePoint
#include "ferrytray/peers/load_table.hpp" // for EndpointTag

namespace ferrytray::peers {

/// @brief An engine begins nothing from now until then, since it loads weights. Hosts have no
/// common clock: the time counts from when the message was written.
struct ReloadNotice
{
  EndpointTag m_endpoint = 0;
  std::string m_model;
  std::uint32_t m_version = 0;     ///< weights that it has afterwards
  std::int32_t m_endsInMillis = 0; ///< negative: over for so long
  std::uint64_t m_revision = 0;    ///< grows with each change; the higher one counts
};

using ReloadNotices = std::vector<ReloadNotice>;

/// @brief What an engine runs after a reload that was announced.
struct ReloadedWeights
{
  EndpointTag m_endpoint = 0;
  std::string m_model;
  std::uint32_t m_version = 0;
};

struct ReloadTableOptions
{
  /// An ended reload is kept for so long, so that all hosts hear of its end: two questions between
  /// hosts, and one that was missed.
  base::Duration m_retention = std::chrono::milliseconds(2500);
  /// A notice with a later end is no reload: weights take a second or a few.
  base::Duration m_maxDuration = std::chrono::seconds(60);
  /// Engines whose reload is known at once; more are dropped, so that memory stays bounded.
  std::size_t m_maxEntries = 4096;
};

/// @brief Which engines are about to load weights or do so now, as whoever orders it told. Pure.
///
/// An engine rejects what reaches it while it loads. A host sends an engine a request every few
/// seconds, so by its own rejections it would learn of a reload when that is over.
class ReloadTable
{
public:
  explicit ReloadTable(ReloadTableOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @return whether it was taken; one that is older than what is known, or no reload, is not
  bool OnNotice(const ReloadNotice& aNotice, base::TimePoint aNow);
  /// @brief Whether the engine begins nothing now.
  [[nodiscard]] bool IsReloading(EndpointTag aEndpoint, base::TimePoint aNow) const;
  /// @brief Reloads that have ended since the last call.
  [[nodiscard]] std::vector<ReloadedWeights> TakeEnded(base::TimePoint aNow);
  /// @brief All that is known, to pass on.
  [[nodiscard]] ReloadNotices Notices(base::TimePoint aNow) const;
  /// @brief Forgets what ended long ago.
  void Expire(base::TimePoint aNow);

private:
  struct Reload
  {
    std::string m_model;
    std::uint32_t m_version = 0;
    base::TimePoint m_endsAt;
    std::uint64_t m_revision = 0;
    bool m_endReported = false; ///< by TakeEnded()
  };

  ReloadTableOptions m_options;
  std::map<EndpointTag, Reload> m_reloads;
};

} // namespace ferrytray::peers
