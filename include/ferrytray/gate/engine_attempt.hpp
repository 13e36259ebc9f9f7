#pragma once

#include <functional> // for function
#include <memory>     // for enable_shared_from_this
#include <optional>   // for optional
#include <string>     // for string
#include <variant>    // for variant

#include "ferrytray/gate/engine_event_parser.hpp" // for EngineEventParser
#include "ferrytray/gate/gate_core.hpp"           // for GateCore
#include "ferrytray/once/stream_assembler.hpp"    // for StreamAssembler

namespace ferrytray::gate {

/// @brief The complete response was delivered.
struct AttemptComplete
{
  TokenUsage m_usage;
};
/// @brief The engine certainly did not start the request.
struct AttemptNotStarted
{
  std::string m_message;
  bool m_leaving = false;
  std::optional<base::Duration> m_retryAfter; ///< delay that the engine named
};
/// @brief The engine ran a different weight version; nothing was delivered.
struct AttemptVersionMismatch
{
};
/// @brief The request may have run, and the rest of its response is lost.
struct AttemptInterrupted
{
  std::string m_message;
  bool m_connectionClosed = false; ///< the engine closed the connection and resuming failed
};

using AttemptResult =
  std::variant<AttemptComplete, AttemptNotStarted, AttemptVersionMismatch, AttemptInterrupted>;

/// @brief Parameters of one attempt.
struct AttemptRequest
{
  std::string m_engine; ///< IP:PORT
  std::string m_attempt;
  std::string m_version; ///< required weight version
  std::string m_body;    ///< JSON request body
  base::Duration m_timeout{};
};

/// @brief Sends one request to one engine once and resumes its stream where it was interrupted.
class EngineAttempt : public std::enable_shared_from_this<EngineAttempt>
{
public:
  struct Handlers
  {
    std::function<void(const std::string& aText)> m_onText;
    std::function<void(const AttemptResult&)> m_onEnd;
  };

  EngineAttempt(GateCore& aCore, AttemptRequest aRequest, Handlers aHandlers);
  void Start();
  /// @brief Cancels the run at the engine; no handler is called afterwards.
  void Cancel();

private:
  void Send(net::ClientRequest aRequest);
  void OnBytes(std::string_view aBytes);
  void OnEvent(const EngineChunk& aChunk);
  void OnEvent(const EngineError& aError);
  void OnTransferEnd(const net::ClientOutcome& aOutcome);
  void Resume();
  void End(const AttemptResult& aResult);

  GateCore& m_core;
  AttemptRequest m_request;
  Handlers m_handlers;
  EngineEventParser m_parser;
  once::StreamAssembler m_assembler;
  TokenUsage m_usage;
  std::string m_errorBody;
  net::CallId m_call = 0;
  net::TimerHandle m_resumeTimer;
  int m_status = 0;
  int m_resumeCount = 0;
  bool m_versionChecked = false;
  bool m_ended = false;
};

} // namespace ferrytray::gate
