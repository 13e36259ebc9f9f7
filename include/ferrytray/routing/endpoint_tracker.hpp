#pragma once

#include <cstdint>       // for int64_t, uint32_t
#include <optional>      // for optional
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp"    // for Duration, TimePoint
#include "ferrytray/routing/work.hpp" // for Work

namespace ferrytray::routing {

struct EndpointTrackerOptions
{
  base::Duration m_initialBackoff = std::chrono::milliseconds(500); ///< doubles per failure
  base::Duration m_maxBackoff = std::chrono::milliseconds(4000);
  /// Upper limit of MaxIdle(), and its value for endpoints that have not announced a timeout.
  base::Duration m_maxIdle = std::chrono::milliseconds(4000);
  /// Subtracted from the announced idle timeout.
  base::Duration m_idleMargin = std::chrono::milliseconds(1000);
  /// After a refusal for lack of capacity.
  base::Duration m_fullBackoff = std::chrono::milliseconds(150);
};

/// @brief State of each endpoint as observed by this host's own requests.
class EndpointTracker
{
public:
  explicit EndpointTracker(EndpointTrackerOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @param aWork see WorkOf(); OnEnded() must get the same value
  void OnSent(const std::string& aEndpoint, Work aWork);
  void OnEnded(const std::string& aEndpoint, Work aWork);
  void OnReply(const std::string& aEndpoint, base::TimePoint aNow);
  void OnUnreachable(const std::string& aEndpoint, base::TimePoint aNow);
  void OnFull(const std::string& aEndpoint, base::TimePoint aNow);
  /// @brief The endpoint announced after how long it closes idle connections.
  void OnIdleTimeout(const std::string& aEndpoint, base::Duration aTimeout);
  void Forget(const std::string& aEndpoint);
  /// @brief Forgets failures and backoffs of all endpoints, since this host could not reach any.
  void ForgetFailures();

  /// @brief Calls aCall(endpoint, work) for each endpoint that has open requests.
  template<typename Call>
  void ForEachWithOpenRequests(const Call& aCall) const
  {
    for (const auto& [endpoint, entry] : m_entries) {
      if (entry.m_work > 0) {
        aCall(endpoint, entry.m_work);
      }
    }
  }
  [[nodiscard]] Work WorkOfOpenRequests(const std::string& aEndpoint) const;
  [[nodiscard]] std::uint32_t OpenRequests(const std::string& aEndpoint) const;
  /// @brief Maximum idle time of a connection that may be reused. A request sent while the endpoint
  /// closes the connection is lost unless it may be retried.
  [[nodiscard]] base::Duration MaxIdle(const std::string& aEndpoint) const;
  [[nodiscard]] bool IsAvoided(const std::string& aEndpoint, base::TimePoint aNow) const;
  /// @brief Whether the endpoint has replied to this host at or after aThen.
  [[nodiscard]] bool AnsweredSince(const std::string& aEndpoint, base::TimePoint aThen) const;

private:
  struct Entry
  {
    std::uint32_t m_openRequests = 0;
    Work m_work = 0; ///< of the open requests
    std::uint32_t m_consecutiveFailures = 0;
    std::optional<base::TimePoint> m_backoffUntil;
    std::optional<base::TimePoint> m_repliedAt;
    std::optional<base::Duration> m_idleTimeout;
  };

  EndpointTrackerOptions m_options;
  std::unordered_map<std::string, Entry> m_entries;
};

} // namespace ferrytray::routing
