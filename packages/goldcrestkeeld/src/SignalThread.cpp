#include "SignalThread.h"

#include <csignal>

namespace goldcrestkeel {

namespace {

// Interval at which the thread checks whether it should end.
constexpr timespec kStopPollInterval{ 0, 100000000 }; // 100 ms

sigset_t
HandledSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

SignalThread::SignalThread(std::function<void()> aOnStop,
                           std::function<void()> aOnReload)
  : m_onStop(std::move(aOnStop))
  , m_onReload(std::move(aOnReload))
  , m_thread([this] { Run(); })
{
}

SignalThread::~SignalThread()
{
  m_stopped.store(true);
  m_thread.join();
}

void
SignalThread::Block()
{
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void
SignalThread::Run()
{
  const sigset_t signals = HandledSignals();
  while (!m_stopped.load()) {
    const int received = sigtimedwait(&signals, nullptr, &kStopPollInterval);
    if (received == SIGHUP) {
      m_onReload();
    } else if (received == SIGTERM || received == SIGINT) {
      m_onStop();
    }
  }
}

} // namespace goldcrestkeel
