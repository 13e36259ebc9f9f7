#pragma once

#include <functional> // for function
#include <iostream>   // for cout
#include <memory>     // for unique_ptr
#include <string>     // for string

#include <nlohmann/json.hpp> // for json

#include "ferrytray/net/http_client.hpp"    // for HttpClient
#include "ferrytray/net/http_server.hpp"    // for HttpServer
#include "ferrytray/net/loop.hpp"           // for Loop
#include "ferrytray/settings/settings.hpp"  // for SettingsOrExit
#include "ferrytray/telemetry/log_line.hpp" // for StartLogging

/// Shared by all stand-ins: JSON replies and a server loop.
namespace standins {

using nlohmann::json;
using ReplyPtr = std::shared_ptr<ferrytray::net::HttpReply>;

inline void SendJson(const ReplyPtr& aReply, int aStatus, const json& aBody)
{
  aReply->Send(aStatus, { { "Content-Type", "application/json" } }, aBody.dump());
}

inline void SendError(const ReplyPtr& aReply,
                      int aStatus,
                      const std::string& aMessage,
                      bool aStarted)
{
  SendJson(
    aReply, aStatus, { { "error", { { "message", aMessage } } }, { "x_started", aStarted } });
}

/// Refuses a request without starting it and names a delay in seconds.
inline void SendRefusal(const ReplyPtr& aReply, const std::string& aRetryAfter)
{
  const json body{ { "error", { { "message", "busy" } } }, { "x_started", false } };
  aReply->Send(
    503, { { "Content-Type", "application/json" }, { "Retry-After", aRetryAfter } }, body.dump());
}

/// Parses a body. @return a discarded JSON value if it is not valid JSON
inline json ParseBody(const std::string& aBody)
{
  return json::parse(aBody, nullptr, false);
}

/// Wraps a handler so that an exception, such as for a missing field, becomes a 400 reply.
inline ferrytray::net::HttpHandler ReplyOnException(ferrytray::net::HttpHandler aHandler)
{
  return [handler = std::move(aHandler)](ferrytray::net::HttpRequest aRequest, ReplyPtr aReply) {
    try {
      handler(std::move(aRequest), aReply);
    } catch (const std::exception& error) {
      SendError(aReply, 400, error.what(), false);
    }
  };
}

/// Listens, prints "listening IP:PORT" and runs the loop until the process is terminated.
inline int Serve(ferrytray::net::Loop& aLoop,
                 const std::string& aListen,
                 ferrytray::net::HttpHandler aHandler)
{
  ferrytray::net::HttpServerOptions options;
  const auto address = ferrytray::net::ParseAddress(aListen);
  if (!address) {
    std::cerr << address.error().m_message << "\n";
    return ferrytray::settings::kExitBadSettings;
  }
  options.m_listen = *address;
  const auto server =
    ferrytray::net::HttpServer::Create(aLoop, options, ReplyOnException(std::move(aHandler)));
  if (!server) {
    std::cerr << server.error().m_message << "\n";
    return ferrytray::settings::kExitFailed;
  }
  std::cout << "listening " << ferrytray::net::ToString((*server)->ListenAddress()) << std::endl;
  aLoop.OnTerminate([&aLoop] { aLoop.Stop(); });
  aLoop.Run();
  return ferrytray::settings::kExitOk;
}

/// Runs a stand-in until the process is terminated.
/// @param aFactory creates the stand-in on a loop
template<typename Factory>
int RunStandIn(const char* aProgram,
               const ferrytray::settings::Settings& aSettings,
               const Factory& aFactory)
{
  ferrytray::telemetry::StartLogging(aProgram);
  ferrytray::net::Loop loop;
  const auto standIn = aFactory(loop);
  return Serve(
    loop, aSettings.Text("listen"), [&](ferrytray::net::HttpRequest aRequest, const auto& aReply) {
      standIn->Handle(std::move(aRequest), aReply);
    });
}

} // namespace standins
