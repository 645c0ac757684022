#pragma once

#include <atomic>

namespace goldcrestkeel {

/** What this host currently does with requests. Thread-safe. */
class Lifecycle
{
public:
  /** The host has a configuration that it may use. */
  void SetServing(bool aServing) { m_serving.store(aServing); }
  /** The other hosts leave this host its share of connections. */
  void SetJoined(bool aJoined) { m_joined.store(aJoined); }
  /** The load balancer is to stop sending requests; they are still served. */
  void StartDraining() { m_draining.store(true); }
  /** New requests are refused from now on; running ones finish. */
  void StartRefusing() { m_refusing.store(true); }

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
