#pragma once

#include <goldcrestkeel/net/BackendClient.h>
#include <goldcrestkeel/net/HttpClient.h>

#include <deque>
#include <string>
#include <unordered_map>

namespace goldcrestkeel {

/** BackendClient that speaks JSON over HTTP (docs/design.md 5.1). */
class HttpBackendClient : public BackendClient
{
public:
  /** aOrigin identifies this process, so that attempt numbers are unique across
   *  hosts and restarts. aClient must outlive this object. */
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
  /** Transfers and connection limit of one backend server. */
  struct ServerState
  {
    /** Connections that may be open. */
    std::uint32_t m_limit = 1;
    std::uint32_t m_openTransfers = 0;
    /** Cancelled searches whose transfers still run, oldest first. */
    std::deque<TransferId> m_cancelledSearches;
    /** Status call that is deferred until a connection is free. */
    std::function<void()> m_deferredStatusCall;

    bool AtLimit() const { return m_openTransfers >= m_limit; }
  };

  TransferId Start(const std::string& aAddress,
                   HttpRequest aRequest,
                   HttpClient::Done aDone);
  /** Aborts the oldest cancelled search if the limit is reached. */
  void AbortCancelledAtLimit(ServerState& aServer);
  /** Sends the deferred status call if a connection is free. */
  void StartDeferredStatusCall(ServerState& aServer);

  HttpClient& m_client;
  std::string m_origin;
  std::string m_commandOrigin;
  std::unordered_map<AttemptId, TransferId> m_searches;
  std::unordered_map<std::string, ServerState> m_servers;
};

} // namespace goldcrestkeel
