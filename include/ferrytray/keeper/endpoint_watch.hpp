#pragma once

#include <functional> // for function
#include <map>        // for map
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/control/leaving_set.hpp" // for LeavingSet
#include "ferrytray/keeper/options.hpp"      // for KeeperOptions
#include "ferrytray/membership/member.hpp"   // for LoadDigest
#include "ferrytray/net/http_client.hpp"     // for HttpClient
#include "ferrytray/wire/endpoint.hpp"       // for ListedHost
#include "ferrytray/wire/frames.hpp"         // for EndpointStatus

namespace ferrytray::keeper {

/// @brief Follows the platform's host list and the engines' load reports.
class EndpointWatch
{
public:
  using OnEntryHosts = std::function<void(const std::vector<wire::ListedHost>& aEntryHosts)>;

  EndpointWatch(net::Loop& aLoop, net::HttpClient& aHttp, const KeeperOptions& aOptions);
  void Start(OnEntryHosts aOnEntryHosts);
  /// @brief Any sign that an endpoint leaves.
  void MarkLeaving(const std::string& aEndpoint, const std::string& aIncarnation);
  /// @brief Another zone's keeper told of a load.
  void OnRemoteLoad(const membership::LoadDigest& aDigest, base::TimePoint aNow);
  /// @brief The live hosts of this zone: each engine is polled by one of them and told of to the
  /// others, so that the bytes a node spends do not grow with the hosts.
  void SetZoneHosts(std::vector<std::string> aHosts) { m_zoneHosts = std::move(aHosts); }
  /// @brief Polls every zone's engines while this host plans weight swaps.
  void PollAllZones(bool aEnabled) { m_pollAllZones = aEnabled; }

  /// @brief Endpoints with their loads; leaving ones are marked.
  [[nodiscard]] std::vector<wire::EndpointStatus> Endpoints(base::TimePoint aNow) const;
  /// @brief Digests of this zone's engines, a few at a time.
  std::vector<membership::LoadDigest> NextLoadDigests(std::size_t aCount, base::TimePoint aNow);
  [[nodiscard]] const control::LeavingSet& Leaving() const { return m_leaving; }

private:
  struct EndpointState
  {
    wire::ListedHost m_host;
    wire::LoadReport m_load;
    base::TimePoint m_reportedAt{};
    bool m_loadPending = false;
  };

  void PollHostList();
  /// @return whether the list could be read
  bool OnHostList(const std::string& aJson);
  void PollLoads();
  void OnLoad(const std::string& aName, const std::string& aJson);

  net::Loop& m_loop;
  net::HttpClient& m_http;
  KeeperOptions m_options;
  OnEntryHosts m_onEntryHosts;
  control::LeavingSet m_leaving;
  std::map<std::string, EndpointState> m_endpoints;
  [[nodiscard]] bool MustPoll(const wire::ListedHost& aEngine) const;

  std::vector<std::string> m_zoneHosts;
  std::string m_hostListEtag;
  std::string m_digestCursor;
  bool m_pollAllZones = false;
  bool m_hostListPending = false;
  net::TimerHandle m_hostListTimer;
  net::TimerHandle m_loadTimer;
};

} // namespace ferrytray::keeper
