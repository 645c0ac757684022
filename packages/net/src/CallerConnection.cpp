#include "CallerConnection.h"

#include <utility>
#include <vector>

namespace goldcrestkeel {

namespace {

namespace Http = Pistache::Http;

// Pistache writes only headers of a registered type.
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

// Counts one request as open until it is destroyed.
class OpenRequest
{
public:
  explicit OpenRequest(std::shared_ptr<FrontState> aState)
    : m_state(std::move(aState))
  {
    ++m_state->m_open;
  }
  ~OpenRequest() { --m_state->m_open; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

private:
  std::shared_ptr<FrontState> m_state;
};

} // namespace

class CallerConnection::Pending : public Exchange
{
public:
  Pending(std::shared_ptr<CallerConnection> aConnection,
          std::shared_ptr<FrontState> aState,
          CallerRequest aRequest,
          Http::ResponseWriter aWriter)
    : m_request(std::move(aRequest))
    , m_writer(std::move(aWriter))
    , m_open(std::make_shared<OpenRequest>(std::move(aState)))
    , m_connection(std::move(aConnection))
  {
  }

  const CallerRequest& Request() const override { return m_request; }
  void Answer(CallerResponse aAnswer) override
  {
    m_connection->Answer(*this, std::move(aAnswer));
  }
  void OnGone(std::function<void()> aGone) override
  {
    m_connection->OnGone(*this, std::move(aGone));
  }

  CallerRequest m_request;
  Http::ResponseWriter m_writer;
  std::optional<CallerResponse> m_answer;
  std::function<void()> m_gone;
  std::shared_ptr<OpenRequest> m_open;

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
  auto pending = std::make_shared<Pending>(
    shared_from_this(), m_state, std::move(aRequest), std::move(aWriter));
  std::lock_guard lock(m_mutex);
  m_pending.push_back(pending);
  return pending;
}

void
CallerConnection::Close()
{
  std::deque<std::shared_ptr<Pending>> pending;
  std::vector<std::function<void()>> gone;
  {
    std::lock_guard lock(m_mutex);
    m_closed = true;
    pending.swap(m_pending);
    for (const auto& request : pending) {
      request->m_open.reset();
      if (request->m_gone && !request->m_answer) {
        gone.push_back(std::move(request->m_gone));
      }
    }
  }
  for (const auto& notify : gone) {
    notify();
  }
}

void
CallerConnection::Answer(Pending& aPending, CallerResponse aAnswer)
{
  std::lock_guard lock(m_mutex);
  if (!m_closed && !aPending.m_answer) {
    aPending.m_answer = std::move(aAnswer);
    aPending.m_gone = nullptr;
    SendDue();
  }
}

void
CallerConnection::OnGone(Pending& aPending, std::function<void()> aGone)
{
  {
    std::lock_guard lock(m_mutex);
    if (aPending.m_answer) {
      return;
    }
    if (!m_closed) {
      aPending.m_gone = std::move(aGone);
      return;
    }
  }
  aGone();
}

void
CallerConnection::SendDue()
{
  while (!m_pending.empty() && m_pending.front()->m_answer) {
    Send(*m_pending.front());
    m_pending.pop_front();
  }
}

void
CallerConnection::Send(Pending& aPending)
{
  Http::ResponseWriter& writer = aPending.m_writer;
  writer.headers().add<RequestIdHeader>(aPending.m_request.m_requestId);
  const bool close = m_state->m_closing.load() || aPending.m_request.m_close;
  // Pistache has set the header already; add() does not replace it.
  writer.headers().remove<Http::Header::Connection>();
  writer.headers().add<Http::Header::Connection>(
    close ? Http::ConnectionControl::Close
          : Http::ConnectionControl::KeepAlive);
  const auto open = std::move(aPending.m_open);
  writer
    .send(static_cast<Http::Code>(aPending.m_answer->m_status),
          aPending.m_answer->m_body,
          Http::Mime::MediaType::fromString(aPending.m_answer->m_contentType))
    .then([open](ssize_t) {}, [open](std::exception_ptr&) {});
}

} // namespace goldcrestkeel
