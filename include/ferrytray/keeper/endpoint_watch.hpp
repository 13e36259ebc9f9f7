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

/// @brief Polls the platform's host list and the engines' load reports, and tracks every endpoint.
class EndpointWatch
{
public:
  using OnEntryHosts = std::function<void(const std::vector<wire::ListedHost>& aEntryHosts)>;

  EndpointWatch(net::Loop& aLoop, net::HttpClient& aHttp, const KeeperOptions& aOptions);
  void Start(OnEntryHosts aOnEntryHosts);
  /// @brief Marks one incarnation of an endpoint as leaving. The mark stays until the platform
  /// lists the endpoint under another incarnation.
  void MarkLeaving(const std::string& aEndpoint, const std::string& aIncarnation);
  /// @brief Takes a load digest from another keeper if it is newer than the last known report.
  void OnRemoteLoad(const membership::LoadDigest& aDigest, base::TimePoint aNow);
  /// @brief Sets the live hosts of this zone. Each engine is polled by exactly one of them, which
  /// gossips the load to the others, so that the traffic per node does not grow with the number of
  /// hosts.
  void SetZoneHosts(std::vector<std::string> aHosts) { m_zoneHosts = std::move(aHosts); }
  /// @brief Polls the engines of all zones while enabled; needed while this host plans weight
  /// swaps.
  void PollAllZones(bool aEnabled) { m_pollAllZones = aEnabled; }

  /// @brief Returns all listed endpoints with their latest load; leaving ones are flagged.
  [[nodiscard]] std::vector<wire::EndpointStatus> Endpoints(base::TimePoint aNow) const;
  /// @brief Returns up to aCount load digests of this zone's engines, in round-robin order.
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
  /// @return whether the list could be parsed
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
