#pragma once

#include <deque>  // for deque
#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include "standins/standin.hpp" // for json, ReplyPtr

namespace standins {

struct PlatformOptions
{
  std::size_t m_retainedRecords = 1000000;
  double m_appendsPerSecond = 500;
  ferrytray::base::Duration m_hostListLag{};
  ferrytray::base::Duration m_weightTime = std::chrono::milliseconds(200);
  std::size_t m_weightSlots = 3; ///< concurrent downloads at full speed
};

/// A simulated platform: an append-only log, a host list that is published with a lag, and a weight
/// store with limited bandwidth.
class Platform
{
public:
  Platform(ferrytray::net::Loop& aLoop, PlatformOptions aOptions);
  void Handle(const ferrytray::net::HttpRequest& aRequest, const ReplyPtr& aReply);

private:
  struct Record
  {
    std::uint64_t m_offset = 0;
    std::int64_t m_timeMillis = 0;
    std::string m_body;
  };
  struct LongPoll
  {
    std::uint64_t m_from = 0;
    ReplyPtr m_reply;
    ferrytray::net::TimerHandle m_timer;
  };
  struct Stream
  {
    std::uint64_t m_next = 1;
    std::deque<Record> m_records;
    std::map<std::uint64_t, LongPoll> m_longPolls;
  };

  void OnAppend(const std::string& aStream, const std::string& aBody, const ReplyPtr& aReply);
  void OnRead(const std::string& aStream,
              const ferrytray::net::HttpRequest& aRequest,
              const ReplyPtr& aReply);
  void OnUpdateHosts(const ferrytray::net::HttpRequest& aRequest, const ReplyPtr& aReply);
  void SendHosts(const ferrytray::net::HttpRequest& aRequest, const ReplyPtr& aReply);
  void OnWeights(const ReplyPtr& aReply);
  void OnFaults(const json& aBody, const ReplyPtr& aReply);
  [[nodiscard]] json MakePage(const Stream& aStream, std::uint64_t aFrom) const;
  void HoldUnanswered(const ReplyPtr& aReply);
  void CompleteLongPolls(Stream& aStream);
  void RunAfter(ferrytray::base::Duration aDelay, std::function<void()> aCall);

  ferrytray::net::Loop& m_loop;
  PlatformOptions m_options;
  std::map<std::string, Stream> m_streams;
  std::map<std::string, json> m_hosts;
  json m_publishedHosts = json::array();
  std::uint64_t m_hostsVersion = 1;
  ferrytray::base::TimePoint m_nextAppendTime{};
  std::uint64_t m_appends = 0;
  std::uint64_t m_lastLongPollId = 0;
  std::size_t m_activeDownloads = 0;
  std::deque<ReplyPtr> m_unanswered; ///< held so that the connections stay open
  bool m_down = false;
  bool m_answersLongPolls = true;
  int m_repliesToDrop = 0;
  ferrytray::base::Duration m_replyDelay{};
};

} // namespace standins
