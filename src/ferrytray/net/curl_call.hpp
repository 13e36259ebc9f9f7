#pragma once

#include <string> // for string

#include <curl/curl.h> // for CURL, curl_slist

#include "ferrytray/net/http_client.hpp"  // for CallId, ClientEvents, ClientOutcome, ClientRequest
#include "ferrytray/net/open_sockets.hpp" // for OpenSockets

namespace ferrytray::net {

/// @brief A request of the HTTP client and what has been received of its reply.
struct CurlCall
{
  CallId m_id = 0;
  CURL* m_easy = nullptr;
  curl_slist* m_headerList = nullptr;
  Body m_body;
  ClientEvents m_events;
  OpenSockets* m_openSockets = nullptr; ///< of the client
  bool m_statusReported = false;
  bool m_receivedBytes = false;
  bool m_headReported = false;
  bool m_sendOnce = false;
  int m_sends = 0;
  bool m_abandoned = false;       ///< the reply belongs to another request
  bool m_unexpectedInput = false; ///< on the connection, before the request was sent
  bool m_restarted = false;       ///< on a new connection, because of that
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

/// @brief Describes how a finished call ended.
[[nodiscard]] ClientOutcome OutcomeOf(const CurlCall& aCall, CURLcode aResult);

/// @brief Bytes of the request and its reply, headers included.
[[nodiscard]] std::uint64_t BytesOf(const CurlCall& aCall);

} // namespace ferrytray::net
