#include <algorithm> // for sort
#include <cstdio>    // for printf

#include "ferrytray/net/http_client.hpp" // for HttpClient
#include "load.hpp"

// Measures the gate's overhead on the time to first token, against direct requests to the engine in
// the same run; then optionally holds many streams open at once.
namespace ferrytray::load {

namespace {

using nlohmann::json;

net::ClientRequest StreamRequest(const settings::Settings& aSettings,
                                 const std::string& aAddress,
                                 std::uint32_t aTokens)
{
  const json body{ { "model", aSettings.Text("model") },
                   { "prompt", "probe" },
                   { "max_tokens", aTokens },
                   { "stream", true } };
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + aAddress + "/v1/completions";
  request.m_headers = { { "Authorization", "Bearer " + aSettings.Text("key") } };
  request.m_body = body.dump();
  request.m_timeout = std::chrono::minutes(5);
  return request;
}

/// Sends requests one at a time, alternating between the gate and the engine.
class AlternatingProbe
{
public:
  AlternatingProbe(const settings::Settings& aSettings, std::size_t aRequestsPerTarget)
    : m_settings(aSettings)
    , m_http(net::HttpClient::Create(m_loop))
    , m_requestsLeft(aRequestsPerTarget * 2)
  {
  }

  void Run()
  {
    SendNext();
    m_loop.Run();
  }

  std::vector<double> m_viaGate;
  std::vector<double> m_direct;

private:
  void SendNext()
  {
    if (m_requestsLeft-- == 0) {
      m_loop.Stop();
      return;
    }
    const bool viaGate = m_requestsLeft % 2 == 0;
    const base::TimePoint start = base::MonotonicNow();
    auto first = std::make_shared<bool>(true);
    net::ClientEvents events;
    events.m_onData = [this, viaGate, start, first](std::string_view) {
      if (*first) {
        *first = false;
        (viaGate ? m_viaGate : m_direct).push_back(base::Seconds(base::MonotonicNow() - start));
      }
    };
    events.m_onEnd = [this](const net::ClientOutcome&) { SendNext(); };
    m_http->Start(StreamRequest(m_settings, m_settings.Text(viaGate ? "gate" : "direct"), 1),
                  std::move(events));
  }

  const settings::Settings& m_settings;
  net::Loop m_loop;
  std::unique_ptr<net::HttpClient> m_http;
  std::size_t m_requestsLeft;
};

double Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty() ? 0 : aValues[aValues.size() / 2];
}

/// Opens streams and holds them for --seconds. @return how many of them delivered data
std::size_t HoldStreams(const settings::Settings& aSettings, std::size_t aStreams)
{
  constexpr std::uint32_t kLongStreamTokens = 100000;
  net::Loop loop;
  const auto http = net::HttpClient::Create(loop);
  std::size_t started = 0;
  std::vector<bool> hasData(aStreams, false);
  for (std::size_t i = 0; i < aStreams; ++i) {
    net::ClientEvents events;
    auto status = std::make_shared<int>(0);
    events.m_onStatus = [status](int aStatus) { *status = aStatus; };
    events.m_onData = [&, i, status](std::string_view) {
      if (!hasData[i] && *status == 200) {
        hasData[i] = true;
        ++started;
      }
    };
    http->Start(StreamRequest(aSettings, aSettings.Text("gate"), kLongStreamTokens),
                std::move(events));
  }
  const auto end = loop.After(base::FromSeconds(aSettings.Number("seconds")), [&] {
    std::printf("open streams %zu of %zu\n", started, aStreams);
    std::fflush(stdout);
    loop.Stop();
  });
  loop.Run();
  return started;
}

} // namespace

int GateOverhead(const settings::Settings& aSettings)
{
  const std::size_t requestsPerTarget = aSettings.Count("requests");
  AlternatingProbe probe(aSettings, requestsPerTarget);
  probe.Run();
  const double viaGate = Median(probe.m_viaGate);
  const double direct = Median(probe.m_direct);
  std::printf("median time to first token: through the gate %.3f ms, directly %.3f ms, added %.3f "
              "ms (%zu each)\n",
              viaGate * 1000,
              direct * 1000,
              (viaGate - direct) * 1000,
              probe.m_viaGate.size());
  std::fflush(stdout);
  const std::size_t streams = aSettings.Count("streams");
  const bool held = streams == 0 || HoldStreams(aSettings, streams) == streams;
  return held ? settings::kExitOk : settings::kExitFailed;
}

} // namespace ferrytray::load
