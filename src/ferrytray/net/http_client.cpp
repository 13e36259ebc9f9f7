#include "ferrytray/net/http_client.hpp"

#include <map>      // for map
#include <optional> // for optional
#include <unistd.h> // for close
#include <utility>  // for move

#include <asio/post.hpp>         // for post
#include <asio/steady_timer.hpp> // for steady_timer
#include <curl/curl.h>           // for curl_easy_*, curl_multi_*

#include "ferrytray/net/connection_table.hpp" // for ConnectionTable
#include "ferrytray/net/curl_call.hpp"        // for CurlCall, ConfigureSocket, SetOptions
#include "ferrytray/net/curl_sockets.hpp"     // for CurlSockets
#include "ferrytray/net/loop_impl.hpp"        // for LoopImpl

namespace ferrytray::net {

namespace {

constexpr long kMaxIdleConnections = 512;
constexpr int kFirstFinalStatus = 200;

class CurlClient final : public HttpClient
{
public:
  explicit CurlClient(asio::io_context& aContext)
    : m_context(aContext)
    , m_timer(aContext)
    , m_multi(curl_multi_init())
    , m_sockets(
        aContext,
        [this](curl_socket_t aSocket, int aEvents) { PerformSocketAction(aSocket, aEvents); },
        [this](curl_socket_t aSocket) { OnIdleReadable(aSocket); })
  {
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlClient::OnSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlClient::OnTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  ~CurlClient() override
  {
    m_timer.cancel();
    while (!m_calls.empty()) {
      Cancel(m_calls.begin()->first);
    }
    curl_multi_cleanup(m_multi);
  }

  CallId Start(ClientRequest aRequest, ClientEvents aEvents) override
  {
    auto call = std::make_unique<CurlCall>();
    call->m_id = ++m_lastCallId;
    call->m_easy = curl_easy_init();
    call->m_body = std::move(aRequest.m_body);
    call->m_events = std::move(aEvents);
    call->m_connections = &m_connections;
    SetOptions(*call, aRequest);
    SetCallbacks(*call);
    const CallId id = call->m_id;
    m_calls.emplace(id, std::move(call));
    if (m_inCallback) {
      // libcurl rejects new handles inside its own callbacks.
      asio::post(m_context, [this, id] { AddToMulti(id); });
    } else {
      AddToMulti(id);
    }
    return id;
  }

  void Cancel(CallId aCall) override
  {
    const auto found = m_calls.find(aCall);
    if (found == m_calls.end()) {
      return;
    }
    if (m_inCallback) {
      // libcurl forbids removing a handle inside its own callbacks.
      found->second->m_events = {};
      asio::post(m_context, [this, aCall] { Cancel(aCall); });
      return;
    }
    const std::unique_ptr<CurlCall> call = std::move(found->second);
    m_calls.erase(found);
    Release(*call);
  }

  void PauseReading(CallId aCall) override
  {
    const auto found = m_calls.find(aCall);
    if (found != m_calls.end()) {
      curl_easy_pause(found->second->m_easy, CURLPAUSE_RECV);
    }
  }

  void ResumeReading(CallId aCall) override
  {
    // Not within libcurl's callbacks, since it delivers what was received meanwhile.
    asio::post(m_context, [this, aCall] {
      const auto found = m_calls.find(aCall);
      if (found != m_calls.end()) {
        s_current = this;
        curl_easy_pause(found->second->m_easy, CURLPAUSE_CONT);
      }
    });
  }

  [[nodiscard]] const HttpClientCounters& Counters() const override { return m_counters; }

private:
  void AddToMulti(CallId aId)
  {
    const auto found = m_calls.find(aId);
    if (found != m_calls.end()) {
      curl_multi_add_handle(m_multi, found->second->m_easy);
    }
  }

  void SetCallbacks(CurlCall& aCall)
  {
    CURL* easy = aCall.m_easy;
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &CurlClient::OnSocketCreated);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &aCall);
    // The connection may outlive the call.
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &CurlClient::OnSocketClosed);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlClient::OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aCall);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &CurlClient::OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aCall);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &CurlClient::OnSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aCall);
  }

  void Release(CurlCall& aCall)
  {
    curl_multi_remove_handle(m_multi, aCall.m_easy);
    curl_easy_cleanup(aCall.m_easy);
    curl_slist_free_all(aCall.m_headerList);
  }

  void ReportStatus(CurlCall& aCall)
  {
    if (aCall.m_statusReported) {
      return;
    }
    long status = 0;
    curl_easy_getinfo(aCall.m_easy, CURLINFO_RESPONSE_CODE, &status);
    aCall.m_statusReported = true;
    if (aCall.m_events.m_onStatus) {
      aCall.m_events.m_onStatus(static_cast<int>(status));
    }
  }

  static std::size_t OnHeader(char* aLine, std::size_t aSize, std::size_t aCount, void* aCall)
  {
    auto& call = *static_cast<CurlCall*>(aCall);
    call.m_receivedBytes = true;
    std::string_view line(aLine, aSize * aCount);
    line = line.substr(0, line.find_last_not_of("\r\n") + 1);
    if (line.starts_with("HTTP/")) {
      call.m_headers.clear();
      call.m_headReported = false;
    } else if (!line.empty()) {
      ParseHeaderLine(call, line);
    } else if (!s_current->ReportHead(call)) {
      return 0; // makes libcurl close the connection
    }
    return aSize * aCount;
  }

  /// @return false if the reply is rejected
  bool ReportHead(CurlCall& aCall)
  {
    long status = 0;
    curl_easy_getinfo(aCall.m_easy, CURLINFO_RESPONSE_CODE, &status);
    // The trailer of a chunked reply also ends with an empty line.
    if (status < kFirstFinalStatus || aCall.m_headReported) {
      return true;
    }
    if (!MayMatch(aCall.m_match, aCall.m_headers)) {
      aCall.m_foreignReply = true;
      ++m_counters.m_foreignReplies;
      return false;
    }
    aCall.m_headReported = true;
    if (aCall.m_events.m_onHead) {
      m_inCallback = true;
      aCall.m_events.m_onHead(static_cast<int>(status), aCall.m_headers);
      m_inCallback = false;
    }
    return true;
  }

  static int OnSocketCreated(void* aCall, curl_socket_t aSocket, curlsocktype)
  {
    const auto& call = *static_cast<const CurlCall*>(aCall);
    ConfigureSocket(call, aSocket);
    call.m_connections->Add(aSocket);
    ++s_current->m_counters.m_opened;
    return CURL_SOCKOPT_OK;
  }

  static int OnSocketClosed(void* aClient, curl_socket_t aSocket)
  {
    auto& self = *static_cast<CurlClient*>(aClient);
    self.m_sockets.Unwatch(aSocket);
    self.m_connections.Remove(aSocket);
    return ::close(aSocket);
  }

  /// Called before every send, including a resend by libcurl itself.
  static int OnSend(void* aCall, char* aPeerIp, char* aLocalIp, int aPeerPort, int aLocalPort)
  {
    auto& call = *static_cast<CurlCall*>(aCall);
    if (call.m_connectOnly) {
      return CURL_PREREQFUNC_OK;
    }
    if (call.m_sendOnce && call.m_sends > 0) {
      return CURL_PREREQFUNC_ABORT;
    }
    const SendCheck check = call.m_connections->BeginSend(
      { aLocalIp, aLocalPort, aPeerIp, aPeerPort }, EchoedHeaderOf(call));
    if (check != SendCheck::Allowed) {
      // Only a request that was never sent may start again.
      call.m_mustRestart = call.m_sends == 0 && !call.m_restarted;
      s_current->CountRefusedSend(check);
      return CURL_PREREQFUNC_ABORT;
    }
    ++call.m_sends;
    return CURL_PREREQFUNC_OK;
  }

  void CountRefusedSend(SendCheck aCheck)
  {
    ++m_counters.m_movedRequests;
    m_counters.m_usedIds += aCheck == SendCheck::IdUsed ? 1 : 0;
    m_counters.m_fullConnections += aCheck == SendCheck::Full ? 1 : 0;
  }

  static std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aCall)
  {
    auto& call = *static_cast<CurlCall*>(aCall);
    CurlClient& self = *s_current;
    self.m_inCallback = true;
    self.ReportStatus(call);
    if (call.m_events.m_onData) {
      call.m_events.m_onData({ aData, aSize * aCount });
    }
    self.m_inCallback = false;
    return aSize * aCount;
  }

  static int OnSocket(CURL*, curl_socket_t aSocket, int aPollAction, void* aClient, void*)
  {
    auto& self = *static_cast<CurlClient*>(aClient);
    if (aPollAction != CURL_POLL_REMOVE) {
      self.m_sockets.Watch(aSocket, aPollAction);
    } else if (self.m_connections.Contains(aSocket)) {
      self.m_sockets.WatchIdle(aSocket);
    } else {
      self.m_sockets.Unwatch(aSocket);
    }
    return 0;
  }

  void OnIdleReadable(curl_socket_t aSocket)
  {
    const std::optional<IdleInput> input = m_connections.CloseIdle(aSocket);
    if (!input) {
      m_sockets.WatchIdle(aSocket);
      return;
    }
    m_sockets.Unwatch(aSocket);
    m_counters.m_idleInputs += *input == IdleInput::Bytes ? 1 : 0;
  }

  static int OnTimer(CURLM*, long aMillis, void* aClient)
  {
    static_cast<CurlClient*>(aClient)->SetTimer(aMillis);
    return 0;
  }

  void SetTimer(long aMillis)
  {
    if (aMillis < 0) {
      m_timer.cancel();
      return;
    }
    m_timer.expires_after(std::chrono::milliseconds(aMillis));
    m_timer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        PerformSocketAction(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }

  void PerformSocketAction(curl_socket_t aSocket, int aEvents)
  {
    s_current = this;
    if ((aEvents & CURL_CSELECT_IN) != 0) {
      m_counters.m_discardedReplies += m_connections.DiscardForeignReplies(aSocket);
    }
    int running = 0;
    curl_multi_socket_action(m_multi, aSocket, aEvents, &running);
    FinishCompletedCalls();
  }

  void FinishCompletedCalls()
  {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      char* privateData = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &privateData);
      const auto* raw = reinterpret_cast<CurlCall*>(privateData);
      Finish(raw->m_id, message->data.result);
    }
  }

  /// Starts a call again, on a new connection. Its request must not have been sent.
  void Restart(CurlCall& aCall)
  {
    aCall.m_mustRestart = false;
    aCall.m_restarted = true;
    curl_multi_remove_handle(m_multi, aCall.m_easy);
    curl_easy_setopt(aCall.m_easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_multi_add_handle(m_multi, aCall.m_easy);
  }

  void Finish(CallId aId, CURLcode aResult)
  {
    const auto found = m_calls.find(aId);
    if (found->second->m_mustRestart) {
      Restart(*found->second);
      return;
    }
    const std::unique_ptr<CurlCall> call = std::move(found->second);
    m_calls.erase(found);
    const ClientOutcome outcome = OutcomeOf(*call, aResult);
    m_counters.m_bytes += BytesOf(*call);
    if (outcome.m_status != 0) {
      ReportStatus(*call);
    }
    Release(*call);
    if (call->m_events.m_onEnd) {
      call->m_events.m_onEnd(outcome);
    }
  }

  // libcurl passes only the call to its callbacks. All clients of a thread share its event loop.
  static thread_local CurlClient* s_current;

  asio::io_context& m_context;
  asio::steady_timer m_timer;
  CURLM* m_multi;
  CallId m_lastCallId = 0;
  HttpClientCounters m_counters;
  bool m_inCallback = false;
  ConnectionTable m_connections;
  std::map<CallId, std::unique_ptr<CurlCall>> m_calls;
  CurlSockets m_sockets;
};

thread_local CurlClient* CurlClient::s_current = nullptr;

} // namespace

std::unique_ptr<HttpClient> HttpClient::Create(Loop& aLoop)
{
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(initialised);
  return std::make_unique<CurlClient>(aLoop.Impl().m_context);
}

CallId HttpClient::Fetch(ClientRequest aRequest,
                         std::function<void(const ClientOutcome&, std::string)> aDone)
{
  auto body = std::make_shared<std::string>();
  ClientEvents events;
  events.m_onData = [body](std::string_view aPiece) { body->append(aPiece); };
  events.m_onEnd = [body, done = std::move(aDone)](const ClientOutcome& aOutcome) {
    done(aOutcome, std::move(*body));
  };
  return Start(std::move(aRequest), std::move(events));
}

} // namespace ferrytray::net
