#pragma once

#include <goldcrestkeel/edge/DecisionLog.h>
#include <goldcrestkeel/edge/EdgeSettings.h>
#include <goldcrestkeel/edge/FieldNames.h>
#include <goldcrestkeel/edge/Loop.h>
#include <goldcrestkeel/edge/TopologySource.h>

#include <functional>
#include <memory>
#include <string>

namespace goldcrestkeel {

/** Server of an entry host: accepts requests of callers and of other entry
 *  hosts, forwards them to replicas and returns the answers. Also serves the
 *  readiness check and the metrics. */
class EdgeServer
{
public:
  /** aLoop, aLog and aSource must outlive the server. Starts to listen and
   *  starts aSource. Throws std::runtime_error if an address is not of the form
   *  "IP:port", and std::system_error if it cannot be listened on. */
  EdgeServer(Loop& aLoop,
             DecisionLog& aLog,
             const EdgeSettings& aSettings,
             const EdgeFieldNames& aNames,
             TopologySource& aSource);
  ~EdgeServer();
  EdgeServer(const EdgeServer&) = delete;
  EdgeServer& operator=(const EdgeServer&) = delete;

  /** Starts a graceful shutdown: the readiness check fails from now on, new
   *  connections and requests are still accepted for a while, and aDone is
   *  called once all requests are answered and all callers disconnected, or
   *  shortly before the grace time ends. Further calls have no effect. */
  void Shutdown(std::function<void()> aDone);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
