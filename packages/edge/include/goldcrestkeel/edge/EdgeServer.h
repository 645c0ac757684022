#pragma once

#include <goldcrestkeel/edge/DecisionLog.h>
#include <goldcrestkeel/edge/EdgeSettings.h>
#include <goldcrestkeel/edge/Loop.h>
#include <goldcrestkeel/edge/TopologySource.h>

#include <functional>
#include <memory>
#include <string>

namespace goldcrestkeel {

/** Names of the header fields that callers and replicas use. */
struct EdgeFieldNames
{
  /** Number of one try of a caller; replicas echo it. */
  std::string m_requestId;
  /** Time that the sender will wait, in milliseconds. */
  std::string m_deadlineMs;
  /** Id of the replica that is meant. */
  std::string m_targetInstance;
  /** Proof of a replica that it made the answer. */
  std::string m_stamp;
  /** Load of a replica, "running,waiting,slots". */
  std::string m_load;
  /** Present if the replica did not run the request. */
  std::string m_notRun;
  /** Stamps of the shards in a gathered answer. */
  std::string m_shardStamps;
  /** Number of shards that a gathered answer leaves out. */
  std::string m_missingShards;
};

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
