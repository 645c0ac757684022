#include "BackendCodec.h"

#include <goldcrestkeel/net/HttpBackendClient.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace goldcrestkeel {

namespace {

// 1 s each.
constexpr Duration kStatusTimeout{ 1000000 };
constexpr Duration kCancelTimeout{ 1000000 };

std::string
Url(const std::string& aAddress, const char* aPath)
{
  return "http://" + aAddress + aPath;
}

} // namespace

HttpBackendClient::HttpBackendClient(HttpClient& aClient, std::string aOrigin)
  : m_client(aClient)
  , m_origin(std::move(aOrigin))
  , m_commandOrigin(m_origin + "/commands")
{
}

void
HttpBackendClient::LimitConnections(const std::string& aAddress,
                                    std::uint32_t aLimit)
{
  // At least one connection is allowed, because the status call needs it.
  m_servers[aAddress].m_limit = std::max<std::uint32_t>(aLimit, 1);
}

TransferId
HttpBackendClient::Start(const std::string& aAddress,
                         HttpRequest aRequest,
                         HttpClient::Done aDone)
{
  ServerState& server = m_servers[aAddress];
  AbortCancelledAtLimit(server);
  ++server.m_openTransfers;
  return m_client.Start(
    std::move(aRequest),
    [this, aAddress, done = std::move(aDone)](HttpReply&& aReply) {
      --m_servers[aAddress].m_openTransfers;
      done(std::move(aReply));
      StartDeferredStatusCall(m_servers[aAddress]);
    });
}

void
HttpBackendClient::AbortCancelledAtLimit(ServerState& aServer)
{
  if (aServer.AtLimit() && !aServer.m_cancelledSearches.empty()) {
    m_client.Abort(aServer.m_cancelledSearches.front());
    aServer.m_cancelledSearches.pop_front();
    --aServer.m_openTransfers;
  }
}

void
HttpBackendClient::StartDeferredStatusCall(ServerState& aServer)
{
  if (!aServer.AtLimit() && aServer.m_deferredStatusCall) {
    const auto statusCall =
      std::exchange(aServer.m_deferredStatusCall, nullptr);
    statusCall();
  }
}

void
HttpBackendClient::Search(const std::string& aAddress,
                          const SendSubRequest& aRequest,
                          Duration aTimeLeft,
                          std::function<void(SubOutcome&&)> aDone)
{
  HttpRequest request;
  request.m_method = HttpMethod::Post;
  request.m_url = Url(aAddress, "/search");
  request.m_body = EncodeSearch(m_origin, aRequest, aTimeLeft);
  request.m_timeout = aTimeLeft;
  request.m_disableRetry = true;
  const AttemptId attempt = aRequest.m_attempt;
  const auto transfer = std::make_shared<TransferId>(0);
  *transfer =
    Start(aAddress,
          std::move(request),
          [this, aAddress, attempt, transfer, done = std::move(aDone)](
            HttpReply&& aReply) {
            if (m_searches.erase(attempt) != 0) {
              done(DecodeSearch(attempt, aReply));
            } else {
              std::erase(m_servers[aAddress].m_cancelledSearches, *transfer);
            }
          });
  m_searches[attempt] = *transfer;
}

// Below the connection limit the transfer runs to completion, so that its
// connection can be reused: opening one takes several milliseconds on some
// services. At the limit the connection is closed, which also cancels the
// search on the backend server.
void
HttpBackendClient::CancelSearch(const std::string& aAddress, AttemptId aAttempt)
{
  const auto search = m_searches.extract(aAttempt);
  if (search.empty()) {
    return;
  }
  ServerState& server = m_servers[aAddress];
  if (server.AtLimit()) {
    m_client.Abort(search.mapped());
    --server.m_openTransfers;
    StartDeferredStatusCall(server);
    return;
  }
  server.m_cancelledSearches.push_back(search.mapped());
  HttpRequest request;
  request.m_method = HttpMethod::Post;
  request.m_url = Url(aAddress, "/cancel");
  request.m_body = EncodeCancel(m_origin, aAttempt);
  request.m_timeout = kCancelTimeout;
  Start(aAddress, std::move(request), [](HttpReply&&) {});
}

void
HttpBackendClient::RunCommand(const BackendCommand& aCommand,
                              std::function<void(BackendOutcome&&)> aDone)
{
  HttpRequest request;
  request.m_method = HttpMethod::Post;
  request.m_url = Url(aCommand.m_address, "/command");
  request.m_body = EncodeCommand(m_commandOrigin, aCommand);
  request.m_timeout = std::max(aCommand.m_deadline, aCommand.m_replyTimeout);
  request.m_freshConnection = true;
  Start(aCommand.m_address,
        std::move(request),
        [attempt = aCommand.m_attempt,
         replica = aCommand.m_replica,
         done = std::move(aDone)](HttpReply&& aReply) {
          done(DecodeCommand(attempt, replica, aReply));
        });
}

void
HttpBackendClient::Status(
  const std::string& aAddress,
  const std::string& aReplica,
  std::function<void(std::optional<ReplicaStatus>&&)> aDone)
{
  ServerState& server = m_servers[aAddress];
  if (server.AtLimit() && server.m_cancelledSearches.empty()) {
    server.m_deferredStatusCall =
      [this, aAddress, aReplica, done = std::move(aDone)] {
        Status(aAddress, aReplica, done);
      };
    return;
  }
  HttpRequest request;
  request.m_url = Url(aAddress, "/status");
  request.m_timeout = kStatusTimeout;
  Start(aAddress,
        std::move(request),
        [replica = aReplica, done = std::move(aDone)](HttpReply&& aReply) {
          done(DecodeStatus(replica, aReply));
        });
}

} // namespace goldcrestkeel
