#pragma once

#include <string>

namespace goldcrestkeel {

/** Names of the HTTP header fields exchanged with callers and replicas. */
struct EdgeFieldNames
{
  /** Id of one attempt of a caller; replicas echo it in the answer. */
  std::string m_requestId;
  /** Time left until the deadline of the sender, in milliseconds. */
  std::string m_deadlineMs;
  /** Id of the replica that the request is addressed to. */
  std::string m_targetInstance;
  /** Stamp by which a replica proves that it produced the answer. */
  std::string m_stamp;
  /** Load of a replica: running requests, waiting requests and slots, as
   *  "running,waiting,slots" and, on some replicas, the time that work takes
   *  there now, in percent of the usual time. */
  std::string m_load;
  /** Requests a second that a replica takes from all entry hosts together; a
   *  decimal number. Present in its answers for as long as the limit holds. */
  std::string m_requestLimit;
  /** "1" in all answers of a replica that is about to leave. */
  std::string m_leaving;
  /** Present if the replica did not execute the request. */
  std::string m_notRun;
  /** Stamps of the replicas whose results are part of a gathered answer,
   *  separated by commas. */
  std::string m_shardStamps;
  /** Number of shards missing from a gathered answer. */
  std::string m_missingShards;
  /** Id of the replica, in its answers to health checks. */
  std::string m_instance{};
  /** Key of the caller's tenant, after m_keyScheme and a space. */
  std::string m_key{};
  std::string m_keyScheme{};
  /** Name of the caller's tenant, set by entry hosts. */
  std::string m_tenant{};
  /** How long a replica stays cold, in milliseconds, in its answers to health
   *  checks. */
  std::string m_warmupMs{};
};

} // namespace goldcrestkeel
