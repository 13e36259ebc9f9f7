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

/// @brief Records the ends of hand-overs in this half's log: its own, once every gate has drained,
/// and the other half's, once the other half says that it has recorded one.
class HalfController
{
public:
  HalfController(net::Loop& aLoop, net::HttpClient& aHttp, const KeeperOptions& aOptions);
  void Start();
  /// @brief One round.
  /// @param aRules the rules in force
  /// @param aListedHosts entry hosts by the platform's list
  /// @param aMembers members heard of
  /// @param aIsResponsible whether this host acts for the half
  void OnRound(const std::vector<const config::HalfRule*>& aRules,
               const std::set<std::string>& aListedHosts,
               const std::vector<membership::Member>& aMembers,
               bool aIsResponsible);
  /// @brief What the log says of every rule.
  [[nodiscard]] wire::HalfUpdate Epochs() const;
  /// @brief Whether the stream was read to its end once.
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
