#pragma once

#include <atomic>
#include <functional>
#include <thread>

namespace goldcrestkeel {

/** Handles SIGTERM, SIGINT and SIGHUP on a separate thread. Block() must be
 *  called before any other thread starts, so that all threads inherit the
 *  blocked signals. */
class SignalThread
{
public:
  /** Calls aOnStop for SIGTERM and SIGINT and aOnReload for SIGHUP, both on the
   *  signal thread. */
  SignalThread(std::function<void()> aOnStop, std::function<void()> aOnReload);
  ~SignalThread();
  SignalThread(const SignalThread&) = delete;
  SignalThread& operator=(const SignalThread&) = delete;

  /** Blocks the signals in the calling thread and the threads that it starts.
   *  Ignores SIGPIPE. */
  static void Block();

private:
  void Run();

  std::function<void()> m_onStop;
  std::function<void()> m_onReload;
  std::atomic<bool> m_stopped{ false };
  std::thread m_thread;
};

} // namespace goldcrestkeel
