#include "BackendCodec.h"

#include <goldcrestkeel/net/HttpBackendClient.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

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
  request.m_noRepeat = true;
  const AttemptId attempt = aRequest.m_attempt;
  m_searches[attempt] = m_client.Start(
    std::move(request),
    [this, attempt, done = std::move(aDone)](HttpReply&& aReply) {
      if (m_searches.erase(attempt) != 0) {
        done(DecodeSearch(attempt, aReply));
      }
    });
}

// The transfer itself runs on to its end, so that the connection can be used
// again: a new one costs several milliseconds on some services.
void
HttpBackendClient::CancelSearch(const std::string& aAddress, AttemptId aAttempt)
{
  if (m_searches.erase(aAttempt) == 0) {
    return;
  }
  HttpRequest request;
  request.m_method = HttpMethod::Post;
  request.m_url = Url(aAddress, "/cancel");
  request.m_body = EncodeCancel(m_origin, aAttempt);
  request.m_timeout = kCancelTimeout;
  m_client.Start(std::move(request), [](HttpReply&&) {});
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
  m_client.Start(std::move(request),
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
  HttpRequest request;
  request.m_url = Url(aAddress, "/status");
  request.m_timeout = kStatusTimeout;
  m_client.Start(
    std::move(request),
    [replica = aReplica, done = std::move(aDone)](HttpReply&& aReply) {
      done(DecodeStatus(replica, aReply));
    });
}

} // namespace goldcrestkeel
