#include "ferrytray/peers/reload_table.hpp"

#include <algorithm> // for clamp
#include <chrono>    // for milliseconds

namespace ferrytray::peers {

namespace {

std::int32_t MillisUntil(base::TimePoint aTime, base::TimePoint aNow)
{
  constexpr std::int64_t kMaxMillis = INT32_MAX;
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(aTime - aNow).count();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(millis, -kMaxMillis, kMaxMillis));
}

} // namespace

bool ReloadTable::OnNotice(const ReloadNotice& aNotice, base::TimePoint aNow)
{
  const std::chrono::milliseconds endsIn(aNotice.m_endsInMillis);
  const bool plausible = endsIn <= m_options.m_maxDuration && endsIn > -m_options.m_retention;
  if (!plausible) {
    return false;
  }
  const auto found = m_reloads.find(aNotice.m_endpoint);
  const bool isNew = found == m_reloads.end();
  if (isNew ? m_reloads.size() >= m_options.m_maxEntries
            : aNotice.m_revision <= found->second.m_revision) {
    return false;
  }
  m_reloads[aNotice.m_endpoint] = {
    aNotice.m_model, aNotice.m_version, aNow + endsIn, aNotice.m_revision, false
  };
  return true;
}

bool ReloadTable::IsReloading(EndpointTag aEndpoint, base::TimePoint aNow) const
{
  const auto found = m_reloads.find(aEndpoint);
  return found != m_reloads.end() && aNow < found->second.m_endsAt;
}

std::vector<ReloadedWeights> ReloadTable::TakeEnded(base::TimePoint aNow)
{
  std::vector<ReloadedWeights> ended;
  for (auto& [endpoint, reload] : m_reloads) {
    if (!reload.m_endReported && reload.m_endsAt <= aNow) {
      reload.m_endReported = true;
      ended.push_back({ endpoint, reload.m_model, reload.m_version });
    }
  }
  return ended;
}

ReloadNotices ReloadTable::Notices(base::TimePoint aNow) const
{
  ReloadNotices notices;
  notices.reserve(m_reloads.size());
  for (const auto& [endpoint, reload] : m_reloads) {
    notices.push_back({ endpoint,
                        reload.m_model,
                        reload.m_version,
                        MillisUntil(reload.m_endsAt, aNow),
                        reload.m_revision });
  }
  return notices;
}

void ReloadTable::Expire(base::TimePoint aNow)
{
  std::erase_if(m_reloads, [&](const auto& aPair) {
    return aPair.second.m_endsAt + m_options.m_retention <= aNow;
  });
}

} // namespace ferrytray::peers
