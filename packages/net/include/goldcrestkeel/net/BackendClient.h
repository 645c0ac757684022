#pragma once

#include <goldcrestkeel/control/CommandGuard.h>
#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/core/Topology.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace goldcrestkeel {

/** One attempt to run a command on a backend server. */
struct BackendCommand
{
  CommandAttemptId m_attempt = 0;
  /** Id and address of the backend server. */
  std::string m_replica;
  std::string m_address;
  /** Idempotency key. */
  std::string m_key;
  std::string m_body;
  /** Unix time in milliseconds after which the backend server refuses to start
   *  the command. */
  WallTime m_startBefore = 0;
  /** Time that the backend server has for the command. */
  Duration m_deadline{ 0 };
  /** Time to wait for the reply; at least m_deadline. */
  Duration m_replyTimeout{ 0 };
};

using BackendOutcome = std::variant<BackendReply, BackendFailure>;
using SubOutcome = std::variant<SubReply, SubFailure>;

/** Asynchronous calls to backend servers. Callbacks run on the loop thread,
 *  never before the method returns. */
class BackendClient
{
public:
  virtual ~BackendClient() = default;

  /** Sets the number of connections that may be open to a backend server.
   *  The query engine limits searches and commands, so they are always sent. At
   *  the limit a cancelled search is aborted instead of sending a cancellation,
   *  and a status call is deferred. */
  virtual void LimitConnections(const std::string& aAddress,
                                std::uint32_t aLimit) = 0;
  /** Sends a sub-request; aTimeLeft is the timeout of the transfer. */
  virtual void Search(const std::string& aAddress,
                      const SendSubRequest& aRequest,
                      Duration aTimeLeft,
                      std::function<void(SubOutcome&&)> aDone) = 0;
  /** Cancels the attempt on the backend server. The callback of Search() is not
   *  called afterwards. An unknown attempt is ignored. */
  virtual void CancelSearch(const std::string& aAddress,
                            AttemptId aAttempt) = 0;
  /** Sends the command at most once: it is never retried here. */
  virtual void RunCommand(const BackendCommand& aCommand,
                          std::function<void(BackendOutcome&&)> aDone) = 0;
  /** Reads the status of a replica. aDone receives std::nullopt if the status
   *  cannot be read. */
  virtual void Status(
    const std::string& aAddress,
    const std::string& aReplica,
    std::function<void(std::optional<ReplicaStatus>&&)> aDone) = 0;
};

} // namespace goldcrestkeel
