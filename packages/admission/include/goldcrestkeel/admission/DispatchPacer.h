#pragma once

#include <goldcrestkeel/core/Time.h>

#include <optional>

namespace goldcrestkeel {

/** What an answer of a server tells of its load. */
struct ServerReport
{
  /** Requests in its queue for each slot. */
  double m_waitingPerSlot = 0;
  /** It has not run the request. */
  bool m_refused = false;
  /** Requests a second of all servers, divided by the number of hosts. */
  double m_equalShare = 0;
};

/** Limits how fast a host sends requests to the servers of a service while
 * these are overloaded, so that requests wait in the queue of the host, which
 * knows priorities and tenants, and not at the servers, which do not or which
 * refuse them. There is no limit until servers report long queues or refuse
 * requests.
 */
class DispatchPacer
{
public:
  void OnAnswer(TimePoint aNow, const ServerReport& aReport);
  void OnDispatched(TimePoint aNow);
  /** Whether a request may be sent now. */
  bool Allows(TimePoint aNow) const;
  /** Limit in requests a second; nothing if there is none. */
  std::optional<double> Rate() const { return m_rate; }

private:
  double TokensAt(TimePoint aNow) const;
  double ServedAt(TimePoint aNow) const;

  std::optional<double> m_rate;
  /** Moving average of the waiting requests for each slot. */
  double m_waitingPerSlot = 0;
  TimePoint m_answeredAt;
  double m_tokens = 0;
  TimePoint m_tokensAt;
  /** Decayed number of requests that servers have run. */
  double m_served = 0;
  TimePoint m_servedAt;
};

} // namespace goldcrestkeel
