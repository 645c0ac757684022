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

/** An entry host: takes requests of callers, forwards them and answers. */
class EdgeServer
{
public:
  /** aLoop, aLog and aSource must outlive the server. Listens at once; throws
   *  std::system_error if an address cannot be used. */
  EdgeServer(Loop& aLoop,
             DecisionLog& aLog,
             const EdgeSettings& aSettings,
             const EdgeFieldNames& aNames,
             TopologySource& aSource);
  ~EdgeServer();
  EdgeServer(const EdgeServer&) = delete;
  EdgeServer& operator=(const EdgeServer&) = delete;

  /** Stops gracefully: is not ready from now on, serves what comes meanwhile,
   *  and calls aDone when all is answered or the grace time ends. */
  void Shutdown(std::function<void()> aDone);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
