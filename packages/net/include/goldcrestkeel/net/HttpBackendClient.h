#pragma once

#include <goldcrestkeel/net/BackendClient.h>
#include <goldcrestkeel/net/HttpClient.h>

#include <deque>
#include <string>
#include <unordered_map>

namespace goldcrestkeel {

/** Backend client over HTTP and JSON (docs/design.md 5.1). */
class HttpBackendClient : public BackendClient
{
public:
  /** aOrigin makes attempt numbers unique over hosts and restarts. aClient
   *  must outlive this object. */
  HttpBackendClient(HttpClient& aClient, std::string aOrigin);

  void LimitConnections(const std::string& aAddress,
                        std::uint32_t aLimit) override;
  void Search(const std::string& aAddress,
              const SendSubRequest& aRequest,
              Duration aTimeLeft,
              std::function<void(SubOutcome&&)> aDone) override;
  void CancelSearch(const std::string& aAddress, AttemptId aAttempt) override;
  void RunCommand(const BackendCommand& aCommand,
                  std::function<void(BackendOutcome&&)> aDone) override;
  void Status(
    const std::string& aAddress,
    const std::string& aReplica,
    std::function<void(std::optional<ReplicaStatus>&&)> aDone) override;

private:
  /** Transfers to one backend server. */
  struct Target
  {
    std::uint32_t m_limit = 1;
    std::uint32_t m_open = 0;
    /** Cancelled searches that run on, oldest first. */
    std::deque<TransferId> m_abandoned;
    /** Status call that waits for a connection. */
    std::function<void()> m_waiting;

    bool Full() const { return m_open >= m_limit; }
  };

  TransferId Start(const std::string& aAddress,
                   HttpRequest aRequest,
                   HttpClient::Done aDone);
  /** Ends a cancelled search if the limit is reached. */
  void MakeRoom(Target& aTarget);
  /** Sends the waiting status call if there is a connection for it. */
  void StartWaiting(Target& aTarget);

  HttpClient& m_client;
  std::string m_origin;
  std::string m_commandOrigin;
  std::unordered_map<AttemptId, TransferId> m_searches;
  std::unordered_map<std::string, Target> m_targets;
};

} // namespace goldcrestkeel
