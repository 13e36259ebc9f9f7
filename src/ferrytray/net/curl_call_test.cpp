#include "ferrytray/net/curl_call.hpp"

#include <netinet/in.h>  // for IPPROTO_TCP
#include <netinet/tcp.h> // for TCP_USER_TIMEOUT
#include <sys/socket.h>  // for getsockopt, socket
#include <unistd.h>      // for close

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

TEST_GROUP(CurlCall)
{
  int m_socket = socket(AF_INET, SOCK_STREAM, 0);

  void teardown() override
  {
    close(m_socket);
  }
  [[nodiscard]] int Option(int aLevel, int aName) const
  {
    int value = 0;
    socklen_t size = sizeof value;
    getsockopt(m_socket, aLevel, aName, &value, &size);
    return value;
  }
};

// An endpoint that was silent for a little over a second lost its connections: Linux ends a
// connection at the first unanswered probe after TCP_USER_TIMEOUT, regardless of their count.
TEST(CurlCall, PeerMayBeSilentForTwoProbesWithinItsTimeout)
{
  constexpr long kMillis = 2100;
  net::SetPeerTimeout(m_socket, kMillis);
  LONGS_EQUAL(kMillis, Option(IPPROTO_TCP, TCP_USER_TIMEOUT));
  LONGS_EQUAL(1, Option(SOL_SOCKET, SO_KEEPALIVE));
  const int probes = Option(IPPROTO_TCP, TCP_KEEPCNT);
  const int lastProbe = Option(IPPROTO_TCP, TCP_KEEPIDLE) +
                        Option(IPPROTO_TCP, TCP_KEEPINTVL) * (probes - 1); // seconds
  LONGS_EQUAL(2, probes);
  CHECK(lastProbe * 1000 < kMillis);
}
