#include <goldcrestkeel/edge/Loop.h>

#include <event2/event.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace goldcrestkeel {

namespace {

timeval
ToTimeval(Duration aDelay)
{
  const Duration delay = std::max(Duration(0), aDelay);
  timeval value{};
  value.tv_sec = delay.count() / 1000000;
  value.tv_usec = delay.count() % 1000000;
  return value;
}

short
EventsOf(Watch::On aOn)
{
  switch (aOn) {
    case Watch::On::Readable:
      return EV_READ | EV_PERSIST;
    case Watch::On::Writable:
      return EV_WRITE | EV_PERSIST;
    case Watch::On::Signal:
      return EV_SIGNAL | EV_PERSIST;
  }
  return 0;
}

} // namespace

Loop::Loop(const Clock& aClock)
  : m_clock(aClock)
  , m_base(event_base_new())
{
  if (!m_base) {
    throw std::runtime_error(
      "cannot create the event loop: event_base_new() failed");
  }
}

Loop::~Loop()
{
  event_base_free(m_base);
}

void
Loop::Run()
{
  event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void
Loop::Stop()
{
  event_base_loopbreak(m_base);
}

void
Loop::RunOnce(bool aWait)
{
  event_base_loop(m_base, EVLOOP_ONCE | (aWait ? 0 : EVLOOP_NONBLOCK));
}

Watch::Watch(Loop& aLoop,
             int aDescriptor,
             On aOn,
             std::function<void()> aCallback)
  : m_callback(std::move(aCallback))
  , m_event(event_new(aLoop.Base(), aDescriptor, EventsOf(aOn), &OnEvent, this))
{
  if (!m_event) {
    throw std::bad_alloc();
  }
}

Watch::~Watch()
{
  event_free(m_event);
}

void
Watch::Start()
{
  if (!m_started) {
    event_add(m_event, nullptr);
    m_started = true;
  }
}

void
Watch::Stop()
{
  if (m_started) {
    event_del(m_event);
    m_started = false;
  }
}

void
Watch::OnEvent(int, short, void* aSelf)
{
  static_cast<Watch*>(aSelf)->m_callback();
}

LoopTimer::LoopTimer(Loop& aLoop, std::function<void()> aCallback)
  : m_loop(aLoop)
  , m_callback(std::move(aCallback))
  , m_event(event_new(aLoop.Base(), -1, 0, &OnEvent, this))
{
  if (!m_event) {
    throw std::bad_alloc();
  }
}

LoopTimer::~LoopTimer()
{
  event_free(m_event);
}

void
LoopTimer::SetAt(TimePoint aAt)
{
  SetAfter(aAt - m_loop.Now());
}

void
LoopTimer::SetAfter(Duration aDelay)
{
  const timeval delay = ToTimeval(aDelay);
  event_add(m_event, &delay);
}

void
LoopTimer::Cancel()
{
  event_del(m_event);
}

void
LoopTimer::OnEvent(int, short, void* aSelf)
{
  static_cast<LoopTimer*>(aSelf)->m_callback();
}

} // namespace goldcrestkeel
