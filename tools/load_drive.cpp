#include <algorithm> // for sort
#include <chrono>    // for steady_clock
#include <cstdio>    // for printf
#include <iostream>  // for cerr
#include <random>    // for mt19937_64
#include <sstream>   // for istringstream

#include "ferrytray/net/http_client.hpp" // for HttpClient
#include "load.hpp"

// Open-loop load: arrival times do not depend on when replies come.
namespace ferrytray::load {

namespace {

using nlohmann::json;

struct Result
{
  double m_firstTokenSeconds = 0;
  double m_totalSeconds = 0;
  int m_status = 0;
};

class Driver
{
public:
  explicit Driver(const settings::Settings& aSettings)
    : m_settings(aSettings)
    , m_http(net::HttpClient::Create(m_loop))
    , m_random(aSettings.Count("seed"))
  {
    std::istringstream gates(aSettings.Text("gate"));
    for (std::string gate; std::getline(gates, gate, ',');) {
      m_gates.push_back(gate);
    }
  }

  std::vector<Result> Run()
  {
    m_end = base::MonotonicNow() + base::FromSeconds(m_settings.Number("seconds"));
    ScheduleNext();
    m_loop.Run();
    return std::move(m_results);
  }

private:
  void ScheduleNext()
  {
    std::exponential_distribution<double> interarrival(m_settings.Number("rate"));
    m_arrivalTimer = m_loop.After(base::FromSeconds(interarrival(m_random)), [this] {
      if (base::MonotonicNow() >= m_end) {
        m_arrivalsDone = true;
        StopIfDone();
        return;
      }
      Send();
      ScheduleNext();
    });
  }

  /// Half of the prompts are short, a third repeat a recent context, the rest start a new context.
  std::string Prompt()
  {
    const std::uint64_t draw = m_random() % 6;
    if (draw < 3 || m_contexts.empty()) {
      const std::string text = "lookup " + std::to_string(m_random());
      if (m_contexts.size() < 4) {
        AddContext();
      }
      return text;
    }
    if (draw == 3) {
      AddContext();
    }
    return m_contexts[m_random() % m_contexts.size()] + " question " + std::to_string(m_random());
  }

  void AddContext()
  {
    constexpr std::size_t kMaxContexts = 200;
    std::string text = "context " + std::to_string(m_random()) + " ";
    const std::size_t size = (8 + m_random() % 32) * 1024;
    while (text.size() < size) {
      text += std::to_string(m_random()) + " ";
    }
    m_contexts.push_back(text);
    if (m_contexts.size() > kMaxContexts) {
      m_contexts.erase(m_contexts.begin());
    }
  }

  void Send()
  {
    const json body{ { "model", m_settings.Text("model") },
                     { "prompt", Prompt() },
                     { "max_tokens", 8 },
                     { "stream", true } };
    net::ClientRequest request;
    request.m_method = "POST";
    request.m_url = "http://" + m_gates[m_sent++ % m_gates.size()] + "/v1/completions";
    request.m_headers = { { "Authorization", "Bearer " + m_settings.Text("key") } };
    request.m_body = body.dump();
    request.m_match = net::InOrder(); // gates send one reply to each request
    const base::TimePoint start = base::MonotonicNow();
    auto result = std::make_shared<Result>();
    net::ClientEvents events;
    events.m_onData = [result, start](std::string_view) {
      if (result->m_firstTokenSeconds == 0) {
        result->m_firstTokenSeconds = base::Seconds(base::MonotonicNow() - start);
      }
    };
    events.m_onEnd = [this, result, start](const net::ClientOutcome& aOutcome) {
      result->m_totalSeconds = base::Seconds(base::MonotonicNow() - start);
      result->m_status = aOutcome.m_end == net::WireEnd::Complete ? aOutcome.m_status : 0;
      m_results.push_back(*result);
      --m_inFlight;
      StopIfDone();
    };
    ++m_inFlight;
    m_http->Start(std::move(request), std::move(events));
  }

  void StopIfDone()
  {
    if (m_arrivalsDone && m_inFlight == 0) {
      m_loop.Stop();
    }
  }

  const settings::Settings& m_settings;
  net::Loop m_loop;
  std::unique_ptr<net::HttpClient> m_http;
  std::mt19937_64 m_random;
  std::vector<std::string> m_gates;
  std::vector<std::string> m_contexts;
  std::vector<Result> m_results;
  net::TimerHandle m_arrivalTimer;
  base::TimePoint m_end;
  std::size_t m_sent = 0;
  std::size_t m_inFlight = 0;
  bool m_arrivalsDone = false;
};

} // namespace

int DriveLoad(const settings::Settings& aSettings)
{
  Driver driver(aSettings);
  const std::vector<Result> results = driver.Run();
  std::vector<double> firstTokens;
  std::size_t failed = 0;
  for (const Result& result : results) {
    if (result.m_status == 200) {
      firstTokens.push_back(result.m_firstTokenSeconds);
    } else {
      ++failed;
    }
  }
  std::sort(firstTokens.begin(), firstTokens.end());
  if (firstTokens.empty()) {
    std::cerr << "error: no request was answered\n";
    return settings::kExitFailed;
  }
  const auto quantile = [&](double aShare) {
    return firstTokens[static_cast<std::size_t>(aShare *
                                                static_cast<double>(firstTokens.size() - 1))];
  };
  std::printf("answered %zu, not answered %zu, first token p50 %.4f s, p95 %.4f s, p99 %.4f s\n",
              firstTokens.size(),
              failed,
              quantile(0.5),
              quantile(0.95),
              quantile(0.99));
  WriteJson(aSettings,
            { { "answered", firstTokens.size() },
              { "failed", failed },
              { "p50", quantile(0.5) },
              { "p95", quantile(0.95) },
              { "p99", quantile(0.99) } });
  return settings::kExitOk;
}

} // namespace ferrytray::load
