#pragma once

#include <functional>    // for function
#include <memory>        // for shared_ptr
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

/// @brief Keeps a host's configuration, directory and named weights as the record log has them.
class StateFeeds
{
public:
  StateFeeds(RelayCore& aCore,
             store::RecordLog& aLog,
             const RecordFormat& aFormat,
             const FeedOptions& aOptions);
  void Stop();

  /// @brief The topics that are followed, once they are started.
  [[nodiscard]] std::vector<std::shared_ptr<store::TopicFollower>> Topics() const
  {
    return { m_operators, m_endpoints };
  }
  /// @brief Calls after each configuration that came into force.
  void OnConfigured(std::function<void()> aCall) { m_onConfigured = std::move(aCall); }
  /// @brief Whether both topics have been read once.
  [[nodiscard]] bool Loaded() const { return m_endpointsLoaded && m_core.m_configuration; }

private:
  void OnOperatorRecord(const store::Record& aRecord);
  void OnConfiguration(const store::Record& aRecord);
  void OnNamedWeights(const store::Record& aRecord);
  void OnEvacuation(const std::string& aZone, const store::Record& aRecord);
  void SetEvacuated(const std::string& aZone, bool aEvacuated);
  /// The operators' whole topic was read: evacuations that are not in it are over.
  void OnOperatorSnapshot(const std::set<std::string>& aKeys);
  /// @return whether it told something new
  bool OnEndpointRecord(const store::Record& aRecord);
  /// It would take the place of a known endpoint and names a service that nobody declared. Of an id
  /// that is not known yet it is kept: the configuration that declares the service may come later.
  [[nodiscard]] bool ConflictsWithKnownEndpoint(const fleet::Endpoint& aEndpoint) const;
  /// Whether a record says anything else than the one before it of its key.
  bool UpdateLastRecord(const std::string& aKey, const fleet::Endpoint& aEndpoint);
  /// What this host learnt from its own requests goes with the incarnation.
  void ForgetEndpoint(const std::string& aIncarnation);
  store::FollowEvents MakeFollowEvents(const std::string& aTopic);

  RelayCore& m_core;
  const RecordFormat& m_format;
  std::shared_ptr<store::TopicFollower> m_operators;
  std::shared_ptr<store::TopicFollower> m_endpoints;
  std::function<void()> m_onConfigured;
  std::unordered_map<std::string, fleet::Endpoint>
    m_lastRecords; ///< by key: its last readable record
  bool m_operatorsLoaded = false;
  bool m_endpointsLoaded = false;
};

} // namespace ferrytray::relay
