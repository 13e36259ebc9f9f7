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

/// @brief One record of a stream of the platform's log.
struct LogRecord
{
  std::uint64_t m_offset = 0;
  base::Duration m_time{}; ///< the platform's clock
  std::string m_body;
};

/// @brief The answer to one read.
struct LogPage
{
  std::uint64_t m_firstRetained = 1; ///< lower offsets have left the log
  std::uint64_t m_endOffset = 1;     ///< the offset that the next append gets
  base::Duration m_now{};            ///< the platform's clock
  std::vector<LogRecord> m_records;
};

/// @brief Appends to and reads from one stream of the platform's log, over HTTP.
class LogClient
{
public:
  using AppendDone = std::function<void(base::Result<std::uint64_t>)>;
  using ReadDone = std::function<void(base::Result<LogPage>)>;

  /// @param aPlatform "http://IP:PORT"
  LogClient(net::HttpClient& aHttp, std::string aPlatform, std::string aTopic);
  ~LogClient();

  /// @brief Appends one record.
  /// @param aDone gets the offset; PlatformUnavailable means that it may have been written
  void Append(std::string aBody, AppendDone aDone);
  /// @brief Reads from an offset on; waits for news when there is none.
  /// @param aWait how long the platform may hold the answer back
  /// @param aReplyTimeout for the answer, beyond that
  void Read(std::uint64_t aFrom,
            base::Duration aWait,
            base::Duration aReplyTimeout,
            ReadDone aDone);

private:
  /// Sends it, and tells what the answer's body says or why there is none.
  template<typename Parse, typename Done>
  void Send(net::ClientRequest aRequest, const char* aErrorPrefix, Parse aParse, Done aDone);

  net::HttpClient& m_http;
  std::string m_topicUrl;
  std::shared_ptr<bool> m_alive;
};

} // namespace ferrytray::wire
