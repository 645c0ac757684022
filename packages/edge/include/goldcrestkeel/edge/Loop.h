#pragma once

#include <goldcrestkeel/core/Time.h>

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace goldcrestkeel {

/** Event loop of one thread, over libevent. */
class Loop
{
public:
  /** Throws std::runtime_error if the loop cannot be made. */
  explicit Loop(const Clock& aClock);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /** Runs until Stop(). */
  void Run();
  void Stop();
  /** Runs what is due, and waits for at most one event if aWait is set. */
  void RunOnce(bool aWait);

  TimePoint Now() const { return m_clock.Now(); }
  const Clock& GetClock() const { return m_clock; }
  event_base* Base() { return m_base; }

private:
  const Clock& m_clock;
  event_base* m_base;
};

/** Calls back while a descriptor is readable or writable, or on a signal. */
class Watch
{
public:
  enum class On
  {
    Readable,
    Writable,
    /** The descriptor is the number of a signal. */
    Signal,
  };

  Watch(Loop& aLoop, int aDescriptor, On aOn, std::function<void()> aCall);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  /** A watch starts stopped. */
  void Start();
  void Stop();

private:
  static void Fired(int aDescriptor, short aWhat, void* aSelf);

  std::function<void()> m_call;
  event* m_event;
  bool m_started = false;
};

/** Calls back once at a time that can be moved. */
class LoopTimer
{
public:
  LoopTimer(Loop& aLoop, std::function<void()> aCall);
  ~LoopTimer();
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  void SetAt(TimePoint aAt);
  void SetAfter(Duration aDelay);
  void Cancel();

private:
  static void Fired(int aDescriptor, short aWhat, void* aSelf);

  Loop& m_loop;
  std::function<void()> m_call;
  event* m_event;
};

} // namespace goldcrestkeel
