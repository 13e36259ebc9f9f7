#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t, uint64_t
#include <optional>      // for optional
#include <span>          // for span
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::routing {

/// @brief How much an open request weighs when endpoints are compared: the load of reading a long
/// prompt is many times that of a short one.
using Work = std::uint32_t;

struct WorkOptions
{
  Work m_request = 2; ///< any request
  /// One more for each so many prompt tokens (with these two, six of six trial days gained).
  std::uint32_t m_tokensEach = 3000;
};

/// @param aPromptTokens zero if it is no prompt
[[nodiscard]] inline Work WorkOf(std::uint32_t aPromptTokens, const WorkOptions& aOptions = {})
{
  return aOptions.m_request + aPromptTokens / aOptions.m_tokensEach;
}

struct BoardOptions
{
  base::Duration m_avoidFirst = std::chrono::milliseconds(500); ///< after it was not reached
  base::Duration m_avoidMost = std::chrono::milliseconds(4000);
  /// Until an endpoint has told its own timeout.
  base::Duration m_maxIdle = std::chrono::milliseconds(4000);
  base::Duration m_idleMargin = std::chrono::milliseconds(1000); ///< kept from what it told
  base::Duration m_avoidFull = std::chrono::milliseconds(150);   ///< after it refused as full
};

/// @brief What this host knows of each endpoint from its own requests.
class EndpointBoard
{
public:
  explicit EndpointBoard(BoardOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @param aWork see WorkOf(); the same at the end
  void OnSent(const std::string& aEndpoint, Work aWork);
  void OnEnded(const std::string& aEndpoint, Work aWork);
  void OnReply(const std::string& aEndpoint);
  void OnUnreachable(const std::string& aEndpoint, base::TimePoint aNow);
  void OnFull(const std::string& aEndpoint, base::TimePoint aNow);
  /// @brief It told after how long it closes idle connections.
  void OnIdleTimeout(const std::string& aEndpoint, base::Duration aTimeout);
  void Forget(const std::string& aEndpoint);

  /// @brief Calls with each endpoint that has open requests, and their work.
  template<typename Call>
  void ForEachOpen(const Call& aCall) const
  {
    for (const auto& [endpoint, entry] : m_entries) {
      if (entry.m_work > 0) {
        aCall(endpoint, entry.m_work);
      }
    }
  }
  [[nodiscard]] Work OpenWork(const std::string& aEndpoint) const;
  [[nodiscard]] std::uint32_t Open(const std::string& aEndpoint) const;
  /// @brief How long a connection to it may have been idle and still be used: what it closes at
  /// that very moment is lost for good if it may not be sent twice.
  [[nodiscard]] base::Duration MaxIdle(const std::string& aEndpoint) const;
  [[nodiscard]] bool Avoided(const std::string& aEndpoint, base::TimePoint aNow) const;

private:
  struct Entry
  {
    std::uint32_t m_open = 0;
    Work m_work = 0;            ///< of the open ones
    std::uint32_t m_misses = 0; ///< in a row
    std::optional<base::TimePoint> m_avoidUntil;
    std::optional<base::Duration> m_idleTimeout;
  };

  BoardOptions m_options;
  std::unordered_map<std::string, Entry> m_entries;
};

/// @brief One endpoint that a request may go to.
struct PlacementCandidate
{
  std::string m_name;
  Work m_work = 0; ///< open there: this host's own, and others' as far as known
  bool m_avoided = false;
};

struct PlacementOptions
{
  /// A prompt's home is passed over when it holds more work than this plus m_overMean times the
  /// mean (best of four pairs tried on six days; docs/RESULTS.md).
  double m_overBase = 1.0;
  double m_overMean = 1.3;
  /// Then the least busy of its first so many homes takes it.
  std::size_t m_homes = 4;
};

/// @brief The less busy of two random candidates.
[[nodiscard]] std::optional<std::size_t> PlaceAnywhere(std::span<const PlacementCandidate> aOf,
                                                       std::uint64_t aRandom);

/// @brief Where a prompt goes, and where it would go if that one were not busy.
struct Placement
{
  std::size_t m_chosen = 0;
  std::size_t m_home = 0;
};

/// @brief The first home of a key, or one of the next if that one is too busy.
[[nodiscard]] std::optional<Placement> PlaceAtHome(std::span<const PlacementCandidate> aOf,
                                                   const std::string& aKey,
                                                   const PlacementOptions& aOptions);

} // namespace ferrytray::routing
