#pragma once

#include <cstdint> // for uint64_t

#include "ferrytray/peers/messages.hpp" // for SyncReply, SyncRequest

namespace ferrytray::peers {

/// @brief Messages of the peer exchange, and the rows of each part in them, since the start.
struct ExchangeCounters
{
  std::uint64_t m_requestsSent = 0;
  std::uint64_t m_requestsReceived = 0;
  std::uint64_t m_bytesSent = 0;     ///< bodies of requests and replies
  std::uint64_t m_bytesReceived = 0; ///< bodies of requests and replies
  std::uint64_t m_records = 0;       ///< received, of topics
  std::uint64_t m_storeDeltas = 0;   ///< received
  std::uint64_t m_storeChanges = 0;  ///< received, in these deltas
  std::uint64_t m_loads = 0;         ///< received
  std::uint64_t m_notices = 0;       ///< received: of all kinds but request limits

  /// @param aBytes size of the encoded message
  void OnRequestSent(std::size_t aBytes)
  {
    ++m_requestsSent;
    m_bytesSent += aBytes;
  }
  void OnReplySent(std::size_t aBytes) { m_bytesSent += aBytes; }
  void OnRequestReceived(const SyncRequest& aRequest, std::size_t aBytes);
  void OnReplyReceived(const SyncReply& aReply, std::size_t aBytes);
};

} // namespace ferrytray::peers
