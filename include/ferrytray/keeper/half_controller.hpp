#pragma once

#include <map>    // for map
#include <set>    // for set
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/config/document.hpp"   // for HalfRule
#include "ferrytray/keeper/options.hpp"    // for KeeperOptions
#include "ferrytray/membership/member.hpp" // for Member
#include "ferrytray/wire/frames.hpp"       // for HalfUpdate
#include "ferrytray/wire/log_client.hpp"   // for LogClient
#include "ferrytray/wire/log_follower.hpp" // for LogFollower

namespace ferrytray::keeper {

/// @brief Records the end of ownership epochs in this half's log: the epochs that this half ended,
/// once every gate has drained, and those that the other half reports as ended.
class HalfController
{
public:
  HalfController(net::Loop& aLoop, net::HttpClient& aHttp, const KeeperOptions& aOptions);
  void Start();
  /// @brief Runs one control round: appends due records and queries the other half.
  /// @param aRules the rules in force
  /// @param aListedHosts entry hosts in the platform's host list
  /// @param aMembers members known by gossip
  /// @param aIsResponsible whether this host acts for the half
  void OnRound(const std::vector<const config::HalfRule*>& aRules,
               const std::set<std::string>& aListedHosts,
               const std::vector<membership::Member>& aMembers,
               bool aIsResponsible);
  /// @brief Returns the ended epochs of every rule in the log.
  [[nodiscard]] wire::HalfUpdate Epochs() const;
  /// @brief Whether the topic has been read to its end at least once.
  [[nodiscard]] bool CaughtUp() const { return m_follower.CaughtUp(); }

private:
  void OnPage(const wire::LogPage& aPage);
  void AppendRecord(const char* aKind, const std::string& aRule, std::uint64_t aEpoch);
  void QueryOtherHalf(const config::HalfRule& aRule);
  [[nodiscard]] wire::HalfEpochs EpochsOf(const std::string& aRule) const;

  net::HttpClient& m_http;
  wire::LogFollower m_follower;
  wire::LogClient m_appender;
  std::map<std::string, wire::HalfEpochs> m_epochs;
  std::set<std::string> m_pendingQueries;
  bool m_appendPending = false;
};

} // namespace ferrytray::keeper
