#pragma once

#include <goldcrestkeel/net/HttpFront.h>

#include <pistache/http.h>

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>

namespace goldcrestkeel {

/** State that all connections of one front share. */
struct FrontState
{
  /** Requests whose answer has not been written yet. */
  std::atomic<std::size_t> m_open{ 0 };
  std::atomic<bool> m_closing{ false };
};

/** Requests of one connection whose answers are due, in the order of their
 *  arrival. Thread-safe. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  explicit CallerConnection(std::shared_ptr<FrontState> aState);

  std::shared_ptr<Exchange> Add(CallerRequest aRequest,
                                Pistache::Http::ResponseWriter aWriter);
  /** The connection is gone: nothing is sent on it any more. */
  void Close();

private:
  class Pending;

  void Answer(Pending& aPending, CallerResponse aAnswer);
  void OnGone(Pending& aPending, std::function<void()> aGone);
  void SendDue();
  void Send(Pending& aPending);

  std::shared_ptr<FrontState> m_state;
  std::mutex m_mutex;
  bool m_closed = false;
  std::deque<std::shared_ptr<Pending>> m_pending;
};

} // namespace goldcrestkeel
