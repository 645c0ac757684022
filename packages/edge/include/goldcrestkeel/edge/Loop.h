#pragma once

#include <goldcrestkeel/core/Time.h>

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace goldcrestkeel {

/** Event loop of one thread, based on libevent. */
class Loop
{
public:
  /** aClock must outlive the loop. Throws std::runtime_error if the loop cannot
   *  be created. */
  explicit Loop(const Clock& aClock);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /** Handles events until Stop() is called. */
  void Run();
  /** Ends Run() after the current callback. */
  void Stop();
  /** Handles the events that are due. If aWait is set and none is due, waits
   *  for the next one. */
  void RunOnce(bool aWait);

  TimePoint Now() const { return m_clock.Now(); }
  const Clock& GetClock() const { return m_clock; }
  event_base* Base() { return m_base; }

private:
  const Clock& m_clock;
  event_base* m_base;
};

/** Calls a function whenever a descriptor is readable or writable, or a signal
 *  arrives. aLoop must outlive the watch. */
class Watch
{
public:
  enum class On
  {
    Readable,
    Writable,
    /** aDescriptor is a signal number. */
    Signal,
  };

  Watch(Loop& aLoop, int aDescriptor, On aOn, std::function<void()> aCallback);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  /** A new watch is inactive until Start() is called. */
  void Start();
  void Stop();

private:
  static void OnEvent(int aDescriptor, short aEvents, void* aSelf);

  std::function<void()> m_callback;
  event* m_event;
  bool m_started = false;
};

/** One-shot timer. Setting it again replaces the earlier time. */
class LoopTimer
{
public:
  LoopTimer(Loop& aLoop, std::function<void()> aCallback);
  ~LoopTimer();
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  /** A time in the past counts as now. */
  void SetAt(TimePoint aAt);
  void SetAfter(Duration aDelay);
  void Cancel();

private:
  static void OnEvent(int aDescriptor, short aEvents, void* aSelf);

  Loop& m_loop;
  std::function<void()> m_callback;
  event* m_event;
};

} // namespace goldcrestkeel
