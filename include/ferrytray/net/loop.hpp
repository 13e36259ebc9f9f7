#pragma once

#include <functional> // for function
#include <memory>     // for unique_ptr, shared_ptr

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::net {

class LoopImpl;

/// @brief A scheduled call. Destroying the timer cancels it.
class Timer
{
public:
  virtual ~Timer() = default;
  /// @brief Prevents all further calls.
  virtual void Cancel() = 0;
};

using TimerHandle = std::shared_ptr<Timer>;

/// @brief A single-threaded event loop (Asio). Every object of this module belongs to one loop.
class Loop
{
public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// @brief Runs until Stop() is called.
  void Run();
  /// @brief Runs for a limited time; for tests that check state in between.
  void RunFor(base::Duration aSpan);
  /// @brief Makes Run() return; thread-safe.
  void Stop();
  /// @brief Queues a call on the loop; thread-safe.
  void Post(std::function<void()> aCall);
  /// @brief Schedules a single call after a delay.
  [[nodiscard]] TimerHandle After(base::Duration aDelay, std::function<void()> aCall);
  /// @brief Schedules a periodic call, first after one period.
  [[nodiscard]] TimerHandle Every(base::Duration aPeriod, std::function<void()> aCall);
  /// @brief Keeps SIGTERM, SIGINT and SIGHUP that arrive from now on for the callbacks below, so
  /// that they do not end a process that is starting.
  void QueueSignals();
  /// @brief Sets a callback for the first SIGTERM or SIGINT.
  void OnTerminate(std::function<void()> aCall);
  /// @brief Sets a callback for every SIGHUP.
  void OnHangup(std::function<void()> aCall);

  /// @brief For the sources of this module only.
  LoopImpl& Impl() { return *m_impl; }

private:
  std::unique_ptr<LoopImpl> m_impl;
};

} // namespace ferrytray::net
