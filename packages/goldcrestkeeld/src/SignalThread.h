#pragma once

#include <atomic>
#include <functional>
#include <thread>

namespace goldcrestkeel {

/** Receives SIGTERM, SIGINT and SIGHUP on a thread of its own. To be made
 *  before any other thread, which then inherits the blocked signals. */
class SignalThread
{
public:
  SignalThread(std::function<void()> aOnStop, std::function<void()> aOnReload);
  ~SignalThread();
  SignalThread(const SignalThread&) = delete;
  SignalThread& operator=(const SignalThread&) = delete;

  /** Blocks the signals in the calling thread and those it starts. */
  static void Block();

private:
  void Run();

  std::function<void()> m_onStop;
  std::function<void()> m_onReload;
  std::atomic<bool> m_stopped{ false };
  std::thread m_thread;
};

} // namespace goldcrestkeel
