#pragma once

#include <goldcrestkeel/net/BackendClient.h>
#include <goldcrestkeel/net/HttpClient.h>

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
  HttpClient& m_client;
  std::string m_origin;
  std::string m_commandOrigin;
  std::unordered_map<AttemptId, TransferId> m_searches;
};

} // namespace goldcrestkeel
