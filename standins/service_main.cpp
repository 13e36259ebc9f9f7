#include <cstdlib> // for _Exit
#include <map>     // for map

#include "standins/standin.hpp" // for Serve

using namespace ferrytray;
using namespace standins;

namespace {

/// A plain service that counts executions by request id.
class Service
{
public:
  explicit Service(net::Loop& aLoop, base::Duration aWorkTime)
    : m_loop(aLoop)
    , m_workTime(aWorkTime)
  {
  }

  void Handle(const net::HttpRequest& aRequest, const ReplyPtr& aReply)
  {
    if (aRequest.m_path == "/ledger") {
      SendJson(aReply, 200, { { "executions", m_executions }, { "refusals", m_refusals } });
      return;
    }
    if (aRequest.m_path == "/admin/faults") {
      const json faults = ParseBody(aRequest.m_body);
      m_leaving = faults.value("leaving", m_leaving);
      m_retryAfter = faults.value("retry_after", m_retryAfter);
      SendJson(aReply, 200, json::object());
      return;
    }
    if (m_leaving) {
      SendError(aReply, 503, "leaving", false);
      return;
    }
    if (!m_retryAfter.empty()) {
      ++m_refusals;
      SendRefusal(aReply, m_retryAfter);
      return;
    }
    if (aRequest.m_body.Bytes().find("ends its service") != std::string::npos) {
      std::_Exit(1);
    }
    const std::string request(aRequest.Header("X-Request-Id"));
    const int count = ++m_executions[request];
    const json answer{ { "echo", aRequest.m_body },
                       { "path", aRequest.m_path },
                       { "execution", count } };
    auto timer = std::make_shared<net::TimerHandle>();
    *timer = m_loop.After(m_workTime, [aReply, answer, timer] {
      SendJson(aReply, 200, answer);
      timer->reset();
    });
  }

private:
  net::Loop& m_loop;
  base::Duration m_workTime;
  std::map<std::string, int> m_executions;
  bool m_leaving = false;
  std::string m_retryAfter; ///< named in refusals; empty: requests are accepted
  int m_refusals = 0;       ///< with a delay
};

} // namespace

int main(int argc, char** argv)
{
  const auto parsed =
    settings::SettingsBuilder("standin-service", "A plain service for tests.")
      .Add({ "listen", "127.0.0.1:0", "IP:PORT" })
      .Add({ "work-time", "1", "how long a call takes", settings::SettingKind::Millis })
      .Build(argc, argv);
  return settings::RunWith(parsed, [&](const settings::Settings& aSettings) {
    return RunStandIn(argv[0], aSettings, [&](net::Loop& aLoop) {
      return std::make_unique<Service>(aLoop, aSettings.Millis("work-time"));
    });
  });
}
