#pragma once

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

} // namespace goldcrestkeel
