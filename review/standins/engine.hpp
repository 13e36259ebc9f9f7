#pragma once

// A model worker that speaks PROTOCOL.md: streams, Expected-Version, /report, /order. Optionally it
// is faulty as that page says: some of its answers come a second time, late, on the same
// connection.

#include <algorithm> // for max
#include <random>    // for mt19937
#include <string>    // for string
#include <utility>   // for exchange

#include "world.hpp" // for Record, Server

namespace review {

struct EngineFaults
{
  double m_secondAnswer = 0; ///< share of the answers 421 that come a second time
};

class Engine
{
public:
  Engine(std::string aId,
         std::string aService,
         std::string aZone,
         std::string aModel,
         Record& aRecord,
         unsigned aSeed)
    : m_id(std::move(aId))
    , m_service(std::move(aService))
    , m_zone(std::move(aZone))
    , m_model(std::move(aModel))
    , m_record(aRecord)
    , m_random(aSeed)
    , m_server([this](Connection& aConnection) { Serve(aConnection); })
  {
  }

  [[nodiscard]] const std::string& Id() const { return m_id; }

  void SetFaults(const EngineFaults& aFaults)
  {
    const std::scoped_lock lock(m_mutex);
    m_faults = aFaults;
  }

  /// Its entry in the store.
  std::string Entry()
  {
    const std::scoped_lock lock(m_mutex);
    FinishLoad();
    return json{
      { "service", m_service },   { "address", m_server.Address() },
      { "zone", m_zone },         { "version", "v1" },
      { "slots", kSlots },        { "state", "ready" },
      { "cold_remaining_ms", 0 }, { "stage", "unified" },
      { "models", Models() },     { "seq", m_ordersTaken }
    }.dump();
  }

  /// How often each request has begun to run here, by its id.
  std::map<std::string, int> Runs()
  {
    const std::scoped_lock lock(m_mutex);
    return m_runs;
  }

  /// Answers to requests, without the second ones.
  int Answered()
  {
    const std::scoped_lock lock(m_mutex);
    return m_answered;
  }

private:
  static constexpr int kSlots = 32;
  static constexpr double kLoadTime = 1.1;
  static constexpr double kPrefillTime = 0.02;
  static constexpr double kTokenTime = 0.006;
  static constexpr int kEvents = 11;
  // How late a second answer comes.
  static constexpr double kMinLateness = 0.002;
  static constexpr double kMaxLateness = 0.03;

  /// What the worker does with a request; the lock is held.
  enum class Verdict
  {
    Run,
    Loading,
    OtherWeights,
    OtherInstance,
    Full
  };

  [[nodiscard]] json Models() const
  {
    return json::array(
      { { { "name", m_model }, { "version", m_weights }, { "adapters", json::array() } } });
  }

  void FinishLoad()
  {
    if (m_loading != 0 && Now() >= m_loadedAt) {
      m_weights = m_loading;
      m_loading = 0;
      m_record.Add(m_id + " has weights " + std::to_string(m_weights));
    }
  }

  /// An answer that comes once more, at a time that does not depend on the host.
  struct SecondAnswer
  {
    std::string m_bytes; ///< empty: none
    double m_at = 0;
  };

  void Serve(Connection& aConnection)
  {
    SecondAnswer second;
    for (;;) {
      const bool waits = !second.m_bytes.empty();
      const bool arrived = aConnection.AwaitBytes(waits ? std::max(second.m_at - Now(), 0.0) : -1);
      if (waits) {
        // An answer that is late comes before that of the next request.
        Sleep(std::max(second.m_at - Now(), 0.0));
        m_record.Add(m_id + " sends the second answer of " + Describe(second.m_bytes) +
                     (arrived ? ", with the next request there" : ""));
        if (!aConnection.Write(std::exchange(second.m_bytes, ""))) {
          return;
        }
      }
      if (!arrived) {
        continue;
      }
      const auto request = ReadRequest(aConnection);
      if (!request || !Handle(*request, aConnection, second)) {
        return;
      }
    }
  }

  /// ID: STATUS
  static std::string Describe(const std::string& aAnswer)
  {
    constexpr std::string_view kName = "Request-Id: ";
    const std::size_t start = aAnswer.find(kName) + kName.size();
    return aAnswer.substr(start, aAnswer.find('\r', start) - start) + ": " + aAnswer.substr(9, 3);
  }

  bool Handle(const Request& aRequest, Connection& aConnection, SecondAnswer& aSecond)
  {
    if (aRequest.m_target == "/report") {
      return aConnection.Write(Report());
    }
    if (aRequest.m_target == "/order") {
      return aConnection.Write(TakeOrder(aRequest.m_body));
    }
    return Answer(aRequest, aConnection, aSecond);
  }

  std::string Report()
  {
    const std::scoped_lock lock(m_mutex);
    FinishLoad();
    const json body = {
      { "stage", "unified" },   { "models", Models() }, { "busy", m_loading != 0 },
      { "seq", m_ordersTaken }, { "queued", 0 },        { "active", m_active },
      { "kv_used", 0 },         { "kv_total", 87295 },  { "handles", 0 }
    };
    return Format(200, { { "Content-Type", "application/json" } }, body.dump());
  }

  std::string TakeOrder(const std::string& aBody)
  {
    const std::scoped_lock lock(m_mutex);
    FinishLoad();
    const json order = json::parse(aBody);
    const bool differs = order.contains("precondition") && order["precondition"] != m_ordersTaken;
    if (m_loading != 0 || differs) {
      return Format(409, {}, "");
    }
    if (order["version"] == m_weights) {
      return Format(200, {}, "");
    }
    ++m_ordersTaken;
    m_loading = order["version"].get<unsigned>();
    m_loadedAt = Now() + kLoadTime;
    m_record.Add(m_id + " takes an order of " + order["holder"].get<std::string>() + ": weights " +
                 std::to_string(m_loading));
    return Format(202, {}, "");
  }

  Verdict Judge(const Request& aRequest)
  {
    const std::string expected = aRequest.Header("expected-version");
    const std::string instance = aRequest.Header("target-instance");
    if (!instance.empty() && instance != m_id) {
      return Verdict::OtherInstance;
    }
    if (m_loading != 0) {
      return Verdict::Loading;
    }
    if (!expected.empty() && expected != std::to_string(m_weights)) {
      return Verdict::OtherWeights;
    }
    return m_active >= kSlots ? Verdict::Full : Verdict::Run;
  }

  /// @param aSecond set to the answer if it is to come a second time
  bool Answer(const Request& aRequest, Connection& aConnection, SecondAnswer& aSecond)
  {
    const std::string id = aRequest.Header("request-id");
    std::string answer;
    bool runs = false;
    bool repeats = false;
    double delay = 0;
    {
      const std::scoped_lock lock(m_mutex);
      FinishLoad();
      const Verdict verdict = Judge(aRequest);
      ++m_answered;
      delay = std::uniform_real_distribution<>(kMinLateness, kMaxLateness)(m_random);
      Headers headers = { { "Request-Id", id }, { "Weight-Versions", std::to_string(m_weights) } };
      if (verdict == Verdict::Run) {
        runs = true;
        ++m_active;
        ++m_runs[id];
        m_record.Add(m_id + " runs " + id);
        headers.emplace_back("Origin-Signature", m_id + "." + id);
        headers.emplace_back("Content-Type", "text/event-stream");
        answer = Stream(headers);
      } else {
        const bool misdirected =
          verdict == Verdict::OtherWeights || verdict == Verdict::OtherInstance;
        headers.emplace_back("Not-Executed", "1");
        repeats = verdict == Verdict::OtherWeights &&
                  std::uniform_real_distribution<>(0, 1)(m_random) < m_faults.m_secondAnswer;
        if (misdirected) {
          headers.emplace_back("Instance-Id", m_id);
        }
        answer = Format(misdirected ? 421 : 503, headers, "");
        m_record.Add(m_id + " answers " + id + " with " + (misdirected ? "421" : "503") +
                     ", weights " + std::to_string(m_weights));
      }
    }
    const bool sent = runs ? Run(aConnection, answer) : aConnection.Write(answer);
    if (runs) {
      const std::scoped_lock lock(m_mutex);
      --m_active;
      m_record.Add(m_id + " has ended " + id);
    }
    if (repeats) {
      aSecond = { answer, Now() + delay };
    }
    return sent;
  }

  /// A stream in chunks: a head and one chunk an event.
  static std::string Stream(const Headers& aHeaders)
  {
    std::string text = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : aHeaders) {
      text += name + ": " + value + "\r\n";
    }
    text += "Transfer-Encoding: chunked\r\n\r\n";
    for (int i = 1; i <= kEvents; ++i) {
      const std::string event = "id: " + std::to_string(i) + "\ndata: token\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      text += size + event + "\r\n";
    }
    return text + "0\r\n\r\n";
  }

  /// Sends the stream piece by piece. @return false if its connection was closed
  static bool Run(Connection& aConnection, const std::string& aStream)
  {
    Sleep(kPrefillTime);
    const std::size_t head = aStream.find("\r\n\r\n") + 4;
    const std::size_t piece = (aStream.size() - head) / kEvents + 1;
    if (!aConnection.Write(aStream.substr(0, head))) {
      return false;
    }
    for (std::size_t at = head; at < aStream.size(); at += piece) {
      Sleep(kTokenTime);
      if (!aConnection.Write(aStream.substr(at, piece))) {
        return false;
      }
    }
    return true;
  }

  std::string m_id;
  std::string m_service;
  std::string m_zone;
  std::string m_model;
  Record& m_record;
  std::mutex m_mutex;
  std::mt19937 m_random;
  EngineFaults m_faults;
  unsigned m_weights = 1;
  unsigned m_loading = 0; ///< the weights that are being loaded; 0: none
  double m_loadedAt = 0;
  unsigned m_ordersTaken = 0;
  int m_active = 0;
  int m_answered = 0;
  std::map<std::string, int> m_runs;
  Server m_server;
};

} // namespace review
