#pragma once

#include <functional>    // for function
#include <memory>        // for shared_ptr
#include <optional>      // for optional
#include <set>           // for set
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/net/loop.hpp"             // for Loop
#include "ferrytray/relay/feed_options.hpp"   // for FeedOptions
#include "ferrytray/relay/record_format.hpp"  // for RecordFormat
#include "ferrytray/relay/relay_core.hpp"     // for RelayCore
#include "ferrytray/store/topic_follower.hpp" // for TopicFollower

namespace ferrytray::relay {

/// @brief Keeps a host's configuration, endpoint directory and named weights in sync with the
/// record log.
class StateFeeds
{
public:
  StateFeeds(RelayCore& aCore,
             store::RecordLog& aLog,
             const RecordFormat& aFormat,
             const FeedOptions& aOptions);
  void Stop();

  /// @brief The followers of both topics; the caller starts them.
  [[nodiscard]] std::vector<std::shared_ptr<store::TopicFollower>> Topics() const
  {
    return { m_operators, m_endpoints };
  }
  /// @brief Sets a function that is called after each new configuration is in force.
  void OnConfigured(std::function<void()> aCall) { m_onConfigured = std::move(aCall); }
  /// @brief Whether both topics have been read at least once.
  [[nodiscard]] bool Loaded() const { return m_endpointsLoaded && m_core.m_configuration; }

private:
  void OnOperatorRecord(const store::Record& aRecord);
  void OnConfiguration(const store::Record& aRecord);
  void OnNamedWeights(const store::Record& aRecord);
  void OnEvacuation(const std::string& aZone, const store::Record& aRecord);
  void SetEvacuated(const std::string& aZone, bool aEvacuated);
  /// Called after a full read of the operators' topic: evacuations that are not in it have ended.
  void OnOperatorSnapshot(const std::set<std::string>& aKeys);
  /// @return whether the record differs from the previous one of its key
  bool OnEndpointRecord(const store::Record& aRecord);
  /// Whether the record would replace a known endpoint but names an undeclared service. Records of
  /// unknown endpoint ids are accepted, as the configuration that declares the service may arrive
  /// later.
  [[nodiscard]] bool ConflictsWithKnownEndpoint(const fleet::Endpoint& aEndpoint) const;
  /// Stores the key's newest record. @return whether it differs from the previous one
  bool UpdateLastRecord(const std::string& aKey, const fleet::Endpoint& aEndpoint);
  /// Drops what this host learned about the incarnation from its own requests.
  void ForgetEndpoint(const std::string& aIncarnation);
  /// Counts a log line on an endpoint. @return whether it is to be written
  bool AdmitEndpointLine(base::TimePoint aNow);
  store::FollowEvents MakeFollowEvents(const std::string& aTopic);
  /// The log answers again after an outage, or the last outage turns out to be none.
  void OnOutageEnd(const std::string& aTopic, const std::optional<store::LogOutage>& aOutage);

  RelayCore& m_core;
  const RecordFormat& m_format;
  std::shared_ptr<store::TopicFollower> m_operators;
  std::shared_ptr<store::TopicFollower> m_endpoints;
  std::function<void()> m_onConfigured;
  std::unordered_map<std::string, fleet::Endpoint> m_lastRecords; ///< by key; readable records only
  std::optional<base::TimePoint> m_outageEnd; ///< of the endpoints' topic, as reported last
  base::TimePoint m_endpointLinesSince{};
  std::size_t m_endpointLines = 0; ///< since then, with those not written
  bool m_operatorsLoaded = false;
  bool m_endpointsLoaded = false;
};

} // namespace ferrytray::relay
