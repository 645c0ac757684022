#pragma once

#include <goldcrestkeel/net/HttpFront.h>

#include <pistache/http.h>

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>

namespace goldcrestkeel {

/** State that all connections of one HttpFront share. */
struct FrontState
{
  /** Number of requests whose response is not yet written. */
  std::atomic<std::size_t> m_openRequests{ 0 };
  /** Whether responses ask the caller to close the connection. */
  std::atomic<bool> m_closeConnections{ false };
};

/** Queue of the requests of one connection whose responses are not yet sent, in
 *  order of arrival. Thread-safe. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  explicit CallerConnection(std::shared_ptr<FrontState> aState);

  /** Appends a request; its response is sent with aWriter after the responses
   *  of all earlier requests. */
  std::shared_ptr<Exchange> Add(CallerRequest aRequest,
                                Pistache::Http::ResponseWriter aWriter);
  /** Called when the caller has disconnected. Discards all pending requests and
   *  calls the callbacks of those without a response. */
  void Close();

private:
  class PendingRequest;

  void Respond(PendingRequest& aPending, CallerResponse aResponse);
  void OnDisconnect(PendingRequest& aPending,
                    std::function<void()> aOnDisconnect);
  /** Sends the responses at the head of the queue up to the first request that
   *  has none. The caller must hold m_mutex. */
  void SendReadyResponses();
  void Send(PendingRequest& aPending);

  std::shared_ptr<FrontState> m_state;
  std::mutex m_mutex;
  bool m_closed = false;
  std::deque<std::shared_ptr<PendingRequest>> m_pending;
};

} // namespace goldcrestkeel
