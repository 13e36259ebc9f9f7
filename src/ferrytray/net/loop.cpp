#include "ferrytray/net/loop.hpp"

#include <csignal>        // for SIGTERM, SIGINT, SIGHUP, SIGPIPE, signal
#include <sys/resource.h> // for getrlimit, setrlimit
#include <utility>        // for move

#include <asio/basic_waitable_timer.hpp> // for basic_waitable_timer
#include <asio/executor_work_guard.hpp>  // for make_work_guard
#include <asio/post.hpp>                 // for post

#include "ferrytray/net/loop_impl.hpp" // for LoopImpl

namespace ferrytray::net {

namespace {

class AsioTimer final
  : public Timer
  , public std::enable_shared_from_this<AsioTimer>
{
public:
  AsioTimer(asio::io_context& aContext, base::Duration aPeriod, bool aRepeat)
    : m_timer(aContext)
    , m_period(aPeriod)
    , m_repeat(aRepeat)
  {
  }

  ~AsioTimer() override { m_timer.cancel(); }

  void Cancel() override
  {
    m_cancelled = true;
    m_timer.cancel();
  }

  void Arm(std::function<void()> aCall)
  {
    m_timer.expires_after(m_period);
    std::weak_ptr<AsioTimer> weak = weak_from_this();
    m_timer.async_wait([weak, call = std::move(aCall)](const asio::error_code& aError) {
      const auto self = weak.lock();
      if (aError || !self || self->m_cancelled) {
        return;
      }
      call();
      if (self->m_repeat && !self->m_cancelled) {
        self->Arm(call);
      }
    });
  }

private:
  /// A timer that expires while the machine is suspended fires with the loop's next event.
  asio::basic_waitable_timer<base::ElapsedClock> m_timer;
  base::Duration m_period;
  bool m_repeat;
  bool m_cancelled = false;
};

TimerHandle StartTimer(asio::io_context& aContext,
                       base::Duration aPeriod,
                       bool aRepeat,
                       std::function<void()> aCall)
{
  auto timer = std::make_shared<AsioTimer>(aContext, aPeriod, aRepeat);
  timer->Arm(std::move(aCall));
  return timer;
}

/// A stream takes two sockets, so the usual soft limit of 1,024 allows a gate only 500 streams.
void RaiseFileDescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

} // namespace

Loop::Loop()
  : m_impl(std::make_unique<LoopImpl>())
{
  std::signal(SIGPIPE, SIG_IGN);
  RaiseFileDescriptorLimit();
}

Loop::~Loop() = default;

void Loop::Run()
{
  const auto guard = asio::make_work_guard(m_impl->m_context);
  m_impl->m_context.run();
}

void Loop::RunFor(base::Duration aSpan)
{
  const auto guard = asio::make_work_guard(m_impl->m_context);
  m_impl->m_context.restart();
  m_impl->m_context.run_for(aSpan);
}

void Loop::Stop()
{
  m_impl->m_context.stop();
}

void Loop::Post(std::function<void()> aCall)
{
  asio::post(m_impl->m_context, std::move(aCall));
}

TimerHandle Loop::After(base::Duration aDelay, std::function<void()> aCall)
{
  return StartTimer(m_impl->m_context, aDelay, false, std::move(aCall));
}

TimerHandle Loop::Every(base::Duration aPeriod, std::function<void()> aCall)
{
  return StartTimer(m_impl->m_context, aPeriod, true, std::move(aCall));
}

void Loop::QueueSignals()
{
  m_impl->m_terminationSignals.add(SIGTERM);
  m_impl->m_terminationSignals.add(SIGINT);
  m_impl->m_hangupSignals.add(SIGHUP);
}

void Loop::OnTerminate(std::function<void()> aCall)
{
  m_impl->m_terminationSignals.add(SIGTERM);
  m_impl->m_terminationSignals.add(SIGINT);
  m_impl->m_terminationSignals.async_wait(
    [call = std::move(aCall)](const asio::error_code& aError, int) {
      if (!aError) {
        call();
      }
    });
}

void Loop::OnHangup(std::function<void()> aCall)
{
  m_impl->m_hangupSignals.add(SIGHUP);
  m_impl->m_hangupSignals.async_wait(
    [this, call = std::move(aCall)](const asio::error_code& aError, int) {
      if (!aError) {
        call();
        OnHangup(call);
      }
    });
}

} // namespace ferrytray::net
