#pragma once

#include <deque>      // for deque
#include <functional> // for function
#include <map>        // for map
#include <memory>     // for shared_ptr
#include <optional>   // for optional
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/gate/options.hpp"      // for GateOptions
#include "ferrytray/net/frame_channel.hpp" // for FrameChannel
#include "ferrytray/replay/registry.hpp"   // for Registry
#include "ferrytray/wire/frames.hpp"       // for Frame

namespace ferrytray::gate {

/// @brief Connection to this host's keeper. The last received state stays in use while
/// disconnected.
class KeeperConnection
{
public:
  struct Handlers
  {
    std::function<void(const config::Document&)> m_onDocument; ///< called for each document applied
    std::function<void(const wire::EndpointUpdate&)> m_onEndpoints;
    std::function<void(const wire::ShareUpdate&)> m_onShares;
    std::function<wire::GateReport()> m_makeReport;
  };

  KeeperConnection(net::Loop& aLoop, const GateOptions& aOptions, Handlers aHandlers);
  void Start();
  /// @brief Sends a report immediately instead of at the next interval.
  void ReportNow();

  [[nodiscard]] const replay::Registry& Registry() const { return m_registry; }
  [[nodiscard]] bool HasConfig() const { return m_hasConfig; }
  [[nodiscard]] std::uint64_t Position() const { return m_position; }
  [[nodiscard]] const std::vector<membership::Member>& Members() const { return m_members; }
  /// @brief The member that holds the tickets of a gate incarnation, live ones first, or null.
  [[nodiscard]] const membership::Member* FindTicketHolder(const std::string& aIncarnation) const;
  /// @brief The hand-over epochs of a rule; empty until the keeper has sent them.
  [[nodiscard]] std::optional<wire::HalfEpochs> Epochs(const std::string& aRule) const;
  [[nodiscard]] bool Connected() const { return m_channel != nullptr; }
  /// @brief Whether a newer configuration may be in force, because the keeper or the log has been
  /// silent for too long.
  [[nodiscard]] bool MayBeBehind(base::TimePoint aNow) const;

private:
  void Connect();
  void RequestConfigAge();
  void OnFrame(std::string_view aBytes);
  void Handle(const wire::StateUpdate& aUpdate);
  void Handle(const wire::EndpointUpdate& aUpdate);
  void Handle(const wire::PeerUpdate& aUpdate);
  void Handle(const wire::ShareUpdate& aUpdate);
  void Handle(const wire::HalfUpdate& aUpdate);
  void Handle(const wire::ConfigurationAge& aAge);
  template<typename Other>
  void Handle(const Other&)
  {
  }

  net::Loop& m_loop;
  GateOptions m_options;
  Handlers m_handlers;
  std::shared_ptr<net::FrameChannel> m_channel;
  replay::Registry m_registry;
  std::map<std::string, std::uint64_t> m_accepted;
  std::uint64_t m_position = 0;
  std::uint64_t m_lastQuestion = 0;               ///< number of the last ConfigurationAgeRequest
  std::deque<base::TimePoint> m_questionSentAt;   ///< send times of recent questions, newest first
  std::optional<base::TimePoint> m_configKnownAt; ///< log records up to then are known
  bool m_hasConfig = false;
  bool m_epochsKnown = false;
  std::map<std::string, wire::HalfEpochs> m_epochs;
  std::vector<membership::Member> m_members;
  net::TimerHandle m_reconnectTimer;
  net::TimerHandle m_reportTimer;
};

} // namespace ferrytray::gate
