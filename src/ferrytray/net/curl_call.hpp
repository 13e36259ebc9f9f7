#pragma once

#include <string>      // for string
#include <string_view> // for string_view

#include <curl/curl.h> // for CURL, curl_slist

#include "ferrytray/net/connection_table.hpp" // for ConnectionTable
#include "ferrytray/net/http_client.hpp" // for CallId, ClientEvents, ClientOutcome, ClientRequest

namespace ferrytray::net {

/// @brief A request of the HTTP client and what has been received of its reply.
struct CurlCall
{
  CallId m_id = 0;
  CURL* m_easy = nullptr;
  curl_slist* m_headerList = nullptr;
  Body m_body;
  ClientEvents m_events;
  ConnectionTable* m_connections = nullptr; ///< of the client
  ReplyMatch m_match;
  bool m_statusReported = false;
  bool m_receivedBytes = false;
  bool m_headReported = false;
  bool m_connectOnly = false;
  bool m_sendOnce = false;
  int m_sends = 0;
  bool m_foreignReply = false; ///< the reply belongs to another request
  bool m_mustRestart = false;  ///< the connection may not carry the request, which was not sent
  bool m_restarted = false;    ///< on a new connection, because of that
  long m_peerTimeoutMillis = 0;
  int m_receiveBufferBytes = 0;
  std::string m_etag;
  std::string m_retryAfter;
  Headers m_headers;
};

/// @brief Sets the options of a call's handle that do not refer to the client.
void SetOptions(CurlCall& aCall, const ClientRequest& aRequest);

/// @brief Makes a connection fail whose peer acknowledges nothing for this long (ms).
///
/// The peer may be silent for a shorter time without losing the connection only if the timeout is
/// longer than two intervals between keep-alive probes (2 s).
void SetPeerTimeout(int aSocket, long aMillis);

/// @brief Sets the options of a call's new socket.
void ConfigureSocket(const CurlCall& aCall, int aSocket);

/// @brief Parses a line of a reply's head.
void ParseHeaderLine(CurlCall& aCall, std::string_view aLine);

/// @brief The header that identifies the reply to a call; null: there is none.
[[nodiscard]] const EchoedHeader* EchoedHeaderOf(const CurlCall& aCall);

/// @brief Describes how a finished call ended.
[[nodiscard]] ClientOutcome OutcomeOf(const CurlCall& aCall, CURLcode aResult);

/// @brief Bytes of the request and its reply, headers included.
[[nodiscard]] std::uint64_t BytesOf(const CurlCall& aCall);

} // namespace ferrytray::net
