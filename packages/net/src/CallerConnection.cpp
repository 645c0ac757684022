#include "CallerConnection.h"

#include <utility>
#include <vector>

namespace goldcrestkeel {

namespace {

namespace Http = Pistache::Http;

// Pistache writes only typed headers, so X-Request-Id needs a class of its own.
class RequestIdHeader : public Http::Header::Header
{
public:
  NAME("X-Request-Id")

  RequestIdHeader() = default;
  explicit RequestIdHeader(std::string aValue)
    : m_value(std::move(aValue))
  {
  }

  void parse(const std::string& aText) override { m_value = aText; }
  void write(std::ostream& aStream) const override { aStream << m_value; }

private:
  std::string m_value;
};

// Counts one request in FrontState::m_openRequests for its own lifetime.
class OpenRequest
{
public:
  explicit OpenRequest(std::shared_ptr<FrontState> aState)
    : m_state(std::move(aState))
  {
    ++m_state->m_openRequests;
  }
  ~OpenRequest() { --m_state->m_openRequests; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

private:
  std::shared_ptr<FrontState> m_state;
};

} // namespace

class CallerConnection::PendingRequest : public Exchange
{
public:
  PendingRequest(std::shared_ptr<CallerConnection> aConnection,
                 std::shared_ptr<FrontState> aState,
                 CallerRequest aRequest,
                 Http::ResponseWriter aWriter)
    : m_request(std::move(aRequest))
    , m_writer(std::move(aWriter))
    , m_openRequest(std::make_shared<OpenRequest>(std::move(aState)))
    , m_connection(std::move(aConnection))
  {
  }

  const CallerRequest& Request() const override { return m_request; }
  void Respond(CallerResponse aResponse) override
  {
    m_connection->Respond(*this, std::move(aResponse));
  }
  void OnDisconnect(std::function<void()> aOnDisconnect) override
  {
    m_connection->OnDisconnect(*this, std::move(aOnDisconnect));
  }

  CallerRequest m_request;
  Http::ResponseWriter m_writer;
  std::optional<CallerResponse> m_response;
  std::function<void()> m_onDisconnect;
  std::shared_ptr<OpenRequest> m_openRequest;

private:
  std::shared_ptr<CallerConnection> m_connection;
};

CallerConnection::CallerConnection(std::shared_ptr<FrontState> aState)
  : m_state(std::move(aState))
{
}

std::shared_ptr<Exchange>
CallerConnection::Add(CallerRequest aRequest, Http::ResponseWriter aWriter)
{
  auto pending = std::make_shared<PendingRequest>(
    shared_from_this(), m_state, std::move(aRequest), std::move(aWriter));
  std::lock_guard lock(m_mutex);
  m_pending.push_back(pending);
  return pending;
}

void
CallerConnection::Close()
{
  std::deque<std::shared_ptr<PendingRequest>> pending;
  std::vector<std::function<void()>> callbacks;
  {
    std::lock_guard lock(m_mutex);
    m_closed = true;
    pending.swap(m_pending);
    for (const auto& request : pending) {
      request->m_openRequest.reset();
      if (request->m_onDisconnect && !request->m_response) {
        callbacks.push_back(std::move(request->m_onDisconnect));
      }
    }
  }
  for (const auto& callback : callbacks) {
    callback();
  }
}

void
CallerConnection::Respond(PendingRequest& aPending, CallerResponse aResponse)
{
  std::lock_guard lock(m_mutex);
  if (!m_closed && !aPending.m_response) {
    aPending.m_response = std::move(aResponse);
    aPending.m_onDisconnect = nullptr;
    SendReadyResponses();
  }
}

void
CallerConnection::OnDisconnect(PendingRequest& aPending,
                               std::function<void()> aOnDisconnect)
{
  {
    std::lock_guard lock(m_mutex);
    if (aPending.m_response) {
      return;
    }
    if (!m_closed) {
      aPending.m_onDisconnect = std::move(aOnDisconnect);
      return;
    }
  }
  aOnDisconnect();
}

void
CallerConnection::SendReadyResponses()
{
  while (!m_pending.empty() && m_pending.front()->m_response) {
    Send(*m_pending.front());
    m_pending.pop_front();
  }
}

void
CallerConnection::Send(PendingRequest& aPending)
{
  Http::ResponseWriter& writer = aPending.m_writer;
  writer.headers().add<RequestIdHeader>(aPending.m_request.m_requestId);
  const bool close =
    m_state->m_closeConnections.load() || aPending.m_request.m_close;
  // Pistache has already set this header, and add() does not replace it.
  writer.headers().remove<Http::Header::Connection>();
  writer.headers().add<Http::Header::Connection>(
    close ? Http::ConnectionControl::Close
          : Http::ConnectionControl::KeepAlive);
  // Captured by both callbacks, so that the request counts as open until the
  // response is written or fails.
  const auto open = std::move(aPending.m_openRequest);
  writer
    .send(static_cast<Http::Code>(aPending.m_response->m_status),
          aPending.m_response->m_body,
          Http::Mime::MediaType::fromString(aPending.m_response->m_contentType))
    .then([open](ssize_t) {}, [open](std::exception_ptr&) {});
}

} // namespace goldcrestkeel
