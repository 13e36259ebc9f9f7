#pragma once

#include <cstdint>    // for uint64_t
#include <functional> // for function
#include <memory>     // for shared_ptr
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/base/error.hpp"      // for Result
#include "ferrytray/base/time.hpp"       // for Duration
#include "ferrytray/net/http_client.hpp" // for HttpClient

namespace ferrytray::wire {

/// @brief One record of a topic of the platform's log.
struct LogRecord
{
  std::uint64_t m_offset = 0;
  base::Duration m_time{}; ///< when it was appended, by the platform's clock
  std::string m_body;
};

/// @brief Reply to one read.
struct LogPage
{
  std::uint64_t m_firstRetained = 1; ///< lower offsets have been truncated
  std::uint64_t m_endOffset = 1;     ///< offset of the next append
  base::Duration m_now{};            ///< current time of the platform's clock
  std::vector<LogRecord> m_records;
};

/// @brief Appends to and reads from one topic of the platform's log over HTTP.
class LogClient
{
public:
  using AppendDone = std::function<void(base::Result<std::uint64_t>)>;
  using ReadDone = std::function<void(base::Result<LogPage>)>;

  /// @param aPlatform "http://IP:PORT"
  LogClient(net::HttpClient& aHttp, std::string aPlatform, std::string aTopic);
  ~LogClient();

  /// @brief Appends one record.
  /// @param aDone receives the offset; after PlatformUnavailable, the record may still have been
  /// written
  void Append(std::string aBody, AppendDone aDone);
  /// @brief Reads records starting at an offset; a long poll if there are none yet.
  /// @param aWait how long the platform may hold the read open
  /// @param aReplyTimeout how long to wait for the reply after that
  void Read(std::uint64_t aFrom,
            base::Duration aWait,
            base::Duration aReplyTimeout,
            ReadDone aDone);

private:
  /// Sends a request and passes the parsed reply body, or the failure, to aDone.
  template<typename Parse, typename Done>
  void Send(net::ClientRequest aRequest, const char* aErrorPrefix, Parse aParse, Done aDone);

  net::HttpClient& m_http;
  std::string m_topicUrl;
  std::shared_ptr<bool> m_alive;
};

} // namespace ferrytray::wire
