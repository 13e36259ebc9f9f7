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
  base::Duration m_initialBackoff = std::chrono::milliseconds(500); ///< after it was not reached
  base::Duration m_maxBackoff = std::chrono::milliseconds(4000);
  /// Until an endpoint has told its own timeout.
  base::Duration m_maxIdle = std::chrono::milliseconds(4000);
  base::Duration m_idleMargin = std::chrono::milliseconds(1000); ///< kept from what it told
  base::Duration m_fullBackoff = std::chrono::milliseconds(150); ///< after it refused as full
};

/// @brief What this host knows of each endpoint from its own requests.
class EndpointTracker
{
public:
  explicit EndpointTracker(EndpointTrackerOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @param aWork see WorkOf(); the same at the end
  void OnSent(const std::string& aEndpoint, Work aWork);
  void OnEnded(const std::string& aEndpoint, Work aWork);
  void OnReply(const std::string& aEndpoint, base::TimePoint aNow);
  void OnUnreachable(const std::string& aEndpoint, base::TimePoint aNow);
  void OnFull(const std::string& aEndpoint, base::TimePoint aNow);
  /// @brief It told after how long it closes idle connections.
  void OnIdleTimeout(const std::string& aEndpoint, base::Duration aTimeout);
  void Forget(const std::string& aEndpoint);

  /// @brief Calls with each endpoint that has open requests, and their work.
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
  /// @brief How long a connection to it may have been idle and still be used: what it closes at
  /// that very moment is lost for good if it may not be sent twice.
  [[nodiscard]] base::Duration MaxIdle(const std::string& aEndpoint) const;
  [[nodiscard]] bool IsAvoided(const std::string& aEndpoint, base::TimePoint aNow) const;
  /// @brief Whether it has answered this host since then.
  [[nodiscard]] bool AnsweredSince(const std::string& aEndpoint, base::TimePoint aThen) const;

private:
  struct Entry
  {
    std::uint32_t m_openRequests = 0;
    Work m_work = 0;                         ///< of the open ones
    std::uint32_t m_consecutiveFailures = 0; ///< in a row
    std::optional<base::TimePoint> m_backoffUntil;
    std::optional<base::TimePoint> m_repliedAt;
    std::optional<base::Duration> m_idleTimeout;
  };

  EndpointTrackerOptions m_options;
  std::unordered_map<std::string, Entry> m_entries;
};

} // namespace ferrytray::routing
