#include "BackendCodec.h"

#include <goldcrestkeel/net/HttpBackendClient.h>

#include <algorithm>
#include <memory>
#include <utility>

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
HttpBackendClient::LimitConnections(const std::string& aAddress,
                                    std::uint32_t aLimit)
{
  // One connection is always allowed: the status call needs it.
  m_targets[aAddress].m_limit = std::max<std::uint32_t>(aLimit, 1);
}

TransferId
HttpBackendClient::Start(const std::string& aAddress,
                         HttpRequest aRequest,
                         HttpClient::Done aDone)
{
  Target& target = m_targets[aAddress];
  MakeRoom(target);
  ++target.m_open;
  return m_client.Start(
    std::move(aRequest),
    [this, aAddress, done = std::move(aDone)](HttpReply&& aReply) {
      --m_targets[aAddress].m_open;
      done(std::move(aReply));
      StartWaiting(m_targets[aAddress]);
    });
}

void
HttpBackendClient::MakeRoom(Target& aTarget)
{
  if (aTarget.Full() && !aTarget.m_abandoned.empty()) {
    m_client.Abort(aTarget.m_abandoned.front());
    aTarget.m_abandoned.pop_front();
    --aTarget.m_open;
  }
}

void
HttpBackendClient::StartWaiting(Target& aTarget)
{
  if (!aTarget.Full() && aTarget.m_waiting) {
    const auto waiting = std::exchange(aTarget.m_waiting, nullptr);
    waiting();
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
              std::erase(m_targets[aAddress].m_abandoned, *transfer);
            }
          });
  m_searches[attempt] = *transfer;
}

// While there is room the transfer runs on to its end, so that its connection
// can be used again: a new one costs several milliseconds on some services.
// Without room the connection is closed, which also tells the backend server.
void
HttpBackendClient::CancelSearch(const std::string& aAddress, AttemptId aAttempt)
{
  const auto search = m_searches.extract(aAttempt);
  if (search.empty()) {
    return;
  }
  Target& target = m_targets[aAddress];
  if (target.Full()) {
    m_client.Abort(search.mapped());
    --target.m_open;
    StartWaiting(target);
    return;
  }
  target.m_abandoned.push_back(search.mapped());
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
  Target& target = m_targets[aAddress];
  if (target.Full() && target.m_abandoned.empty()) {
    target.m_waiting = [this, aAddress, aReplica, done = std::move(aDone)] {
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
