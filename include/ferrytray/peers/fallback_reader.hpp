#pragma once

#include <cstddef>     // for size_t
#include <optional>    // for optional
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/time.hpp"    // for Duration, TimePoint
#include "ferrytray/peers/roster.hpp" // for Peer

namespace ferrytray::peers {

struct FallbackOptions
{
  /// Between two requests while no reader has records. If the log is down for all hosts, each of
  /// them would otherwise send a request at every tick.
  base::Duration m_retryInterval = std::chrono::milliseconds(600);
  /// How long after the last failure of the log a reader that has records stays in use, so that
  /// records keep coming while this host retries the log.
  base::Duration m_holdTime = std::chrono::seconds(4);
};

/// @brief Chooses a reader to fetch the log's records from when neither this host nor the reader
/// that it follows can reach the log: a log that rejects some hosts may serve others. Does no I/O.
///
/// Uses one reader at a time, since each further one would send the same records.
class FallbackReader
{
public:
  explicit FallbackReader(FallbackOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @param aReaders candidates, in an order that stays the same
  /// @param aSource the reader that this host follows already, or empty
  /// @param aLogLost whether this host cannot reach the log now
  [[nodiscard]] std::optional<Peer> Pick(std::span<const Peer> aReaders,
                                         std::string_view aSource,
                                         bool aLogLost,
                                         base::TimePoint aNow);
  /// @brief Records whether the reader's reply contained usable records of the log.
  void OnAnswer(std::string_view aName, bool aUsable);
  /// @brief Whether a fallback reader is in use. If so, a followed reader without records does not
  /// end the relaying of topics.
  [[nodiscard]] bool IsActive() const { return m_active; }
  [[nodiscard]] const std::string& Name() const { return m_name; }

private:
  FallbackOptions m_options;
  std::string m_name; ///< of the reader that was asked last
  bool m_active = false;
  std::size_t m_nextIndex = 0;
  std::optional<base::TimePoint> m_logLostAt;
  std::optional<base::TimePoint> m_lastRequestAt;
};

} // namespace ferrytray::peers
