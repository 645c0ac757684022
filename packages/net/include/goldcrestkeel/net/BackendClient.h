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

/** A command for one backend server. */
struct BackendCommand
{
  CommandAttemptId m_attempt = 0;
  /** Id and address of the backend server. */
  std::string m_replica;
  std::string m_address;
  std::string m_key;
  std::string m_body;
  /** The backend server refuses to start the command later than this. */
  WallTime m_startBefore = 0;
  Duration m_deadline{ 0 };
  /** Time for which the reply is awaited; not shorter than the deadline. */
  Duration m_replyTimeout{ 0 };
};

using BackendOutcome = std::variant<BackendReply, BackendFailure>;
using SubOutcome = std::variant<SubReply, SubFailure>;

/** Calls to backend servers. All callbacks come from the loop thread and never
 *  from within the call. */
class BackendClient
{
public:
  virtual ~BackendClient() = default;

  /** Connections that may be open to a backend server. Searches and commands
   *  are limited by the engine; cancellations and status calls give way. */
  virtual void LimitConnections(const std::string& aAddress,
                                std::uint32_t aLimit) = 0;
  virtual void Search(const std::string& aAddress,
                      const SendSubRequest& aRequest,
                      Duration aTimeLeft,
                      std::function<void(SubOutcome&&)> aDone) = 0;
  /** Tells the backend server that the attempt is not needed any more. The
   *  callback of Search() is not called afterwards. */
  virtual void CancelSearch(const std::string& aAddress,
                            AttemptId aAttempt) = 0;
  /** Sends the command at most once. */
  virtual void RunCommand(const BackendCommand& aCommand,
                          std::function<void(BackendOutcome&&)> aDone) = 0;
  /** Nothing if the status could not be read. */
  virtual void Status(
    const std::string& aAddress,
    const std::string& aReplica,
    std::function<void(std::optional<ReplicaStatus>&&)> aDone) = 0;
};

} // namespace goldcrestkeel
