#pragma once

#include <atomic>

namespace goldcrestkeel {

/** State of this host that decides whether it is ready for, serves or refuses
 *  requests. Thread-safe. */
class Lifecycle
{
public:
  /** Sets whether the host has a configuration that it may use. */
  void SetServing(bool aServing) { m_serving.store(aServing); }
  /** Sets whether the other hosts have reduced their shares of the connections
   *  to backend servers in favour of this host. */
  void SetJoined(bool aJoined) { m_joined.store(aJoined); }
  /** Reports the host as not ready, so that the load balancer stops sending
   *  requests. Requests are still served. */
  void StartDraining() { m_draining.store(true); }
  /** Refuses new requests from now on. Running requests finish. */
  void StartRefusing() { m_refusing.store(true); }

  /** Whether the load balancer may send requests to this host. */
  bool Ready() const
  {
    return m_serving.load() && m_joined.load() && !m_draining.load();
  }
  bool Serving() const { return m_serving.load(); }
  bool Draining() const { return m_draining.load(); }
  bool Refusing() const { return m_refusing.load(); }

private:
  std::atomic<bool> m_serving{ false };
  std::atomic<bool> m_joined{ false };
  std::atomic<bool> m_draining{ false };
  std::atomic<bool> m_refusing{ false };
};

} // namespace goldcrestkeel
