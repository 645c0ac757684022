#include "CallerSession.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Limit of the bytes of pipelined requests that are read while one is served.
 */
constexpr std::size_t kMaxReadAheadBytes = 256 * 1024;
/** A connection that is being closed waits this long for the close of the peer.
 *  Closing it with unread input would reset it, possibly before the peer has
 *  read the response. */
constexpr Duration kLingerTimeout{ 1000000 };
/** Longest time from the first byte of a request to the end of its body;
 *  applies once the header is complete. */
constexpr Duration kBodyTimeout{ 30000000 };

bool
IsBodyless(int aStatus)
{
  return aStatus == 204 || aStatus == 304;
}

} // namespace

CallerSession::CallerSession(Loop& aLoop,
                             SessionId aId,
                             SessionPeer aPeer,
                             Socket aSocket,
                             Owner& aOwner)
  : m_loop(aLoop)
  , m_id(aId)
  , m_peer(aPeer)
  , m_socket(std::move(aSocket))
  , m_owner(aOwner)
  , m_stateSince(aLoop.Now())
  , m_readable(aLoop,
               m_socket.Get(),
               Watch::On::Readable,
               [this] { OnReadable(); })
  , m_writable(aLoop, m_socket.Get(), Watch::On::Writable, [this] {
    OnWritable();
  })
{
  m_readable.Start();
}

bool
CallerSession::IsIdle() const
{
  return m_state == State::Reading && m_input.empty() &&
         (!m_parser || !m_parser->HasStarted()) && m_written == m_output.size();
}

void
CallerSession::Close()
{
  if (m_state == State::Ended) {
    return;
  }
  const bool serving = m_state == State::Serving;
  m_state = State::Ended;
  m_readable.Stop();
  m_writable.Stop();
  m_socket.Close();
  if (serving) {
    m_owner.OnPeerDisconnected(*this);
  }
  m_owner.OnSessionEnded(*this);
}

void
CallerSession::OnReadable()
{
  const IoState state = ReadInto(m_socket, m_input);
  if (state == IoState::WouldBlock) {
    return;
  }
  if (state != IoState::Done) {
    Close();
    return;
  }
  switch (m_state) {
    case State::Reading:
      ParseRequests();
      return;
    case State::Serving:
      if (m_input.size() > kMaxReadAheadBytes) {
        m_readable.Stop();
      }
      return;
    case State::Lingering:
      m_input.clear();
      return;
    case State::Ended:
      return;
  }
}

void
CallerSession::ParseRequests()
{
  // Reply() may be called within OnRequest(). The outer call then continues
  // with the next request, so that the recursion stays bounded.
  if (m_parsing) {
    return;
  }
  m_parsing = true;
  while (m_state == State::Reading && !m_closeAfterReply && !m_input.empty()) {
    if (!m_parser) {
      const CallerLimits limits = m_owner.Limits(m_peer);
      m_parser = std::make_unique<RequestParser>(limits.m_headerBytes,
                                                 limits.m_bodyBytes);
    }
    if (!m_parser->HasStarted()) {
      m_stateSince = m_loop.Now();
    }
    const ParseState state = m_parser->Read(m_input);
    if (state == ParseState::Partial) {
      if (m_parser->ConsumeExpectContinue()) {
        m_output.append("HTTP/1.1 100 Continue\r\n\r\n");
        Write();
      }
      break;
    }
    if (state != ParseState::Complete) {
      RejectRequest(state == ParseState::HeaderTooLarge ? 431
                    : state == ParseState::BodyTooLarge ? 413
                                                        : 400);
      break;
    }
    RequestMessage request = m_parser->Take();
    m_parser.reset();
    m_closeAfterReply = !request.m_keepAlive;
    m_head = request.m_method == "HEAD";
    m_state = State::Serving;
    m_owner.OnRequest(*this, std::move(request));
  }
  m_parsing = false;
}

void
CallerSession::RejectRequest(int aStatus)
{
  m_closeAfterReply = true;
  m_head = false;
  m_state = State::Serving;
  CallerReply reply;
  reply.m_status = aStatus;
  Reply(std::move(reply));
}

void
CallerSession::Reply(CallerReply&& aReply)
{
  if (m_state != State::Serving) {
    return;
  }
  m_closeAfterReply = m_closeAfterReply || m_owner.IsStopping();
  m_output.reserve(m_output.size() + aReply.m_body.size() + 512);
  m_output.append("HTTP/1.1 ")
    .append(std::to_string(aReply.m_status))
    .append(" ")
    .append(ReasonPhrase(aReply.m_status))
    .append("\r\n");
  for (const auto& [name, value] : aReply.m_fields) {
    AppendField(m_output, name, value);
  }
  if (!IsBodyless(aReply.m_status)) {
    AppendField(
      m_output, "Content-Length", std::to_string(aReply.m_body.size()));
  }
  if (m_closeAfterReply) {
    AppendField(m_output, "Connection", "close");
  }
  m_output.append("\r\n");
  if (!m_head && !IsBodyless(aReply.m_status)) {
    m_output.append(aReply.m_body);
  }
  m_state = State::Reading;
  m_stateSince = m_loop.Now();
  Write();
  if (m_state == State::Reading && !m_closeAfterReply) {
    m_readable.Start();
    ParseRequests();
  }
}

void
CallerSession::Write()
{
  const IoState state = WriteFrom(m_socket, m_output, m_written);
  if (state == IoState::Failed) {
    Close();
    return;
  }
  if (state == IoState::WouldBlock) {
    m_writable.Start();
    return;
  }
  FinishWriting();
}

void
CallerSession::FinishWriting()
{
  m_writable.Stop();
  m_output.clear();
  m_written = 0;
  if (m_closeAfterReply && m_state == State::Reading) {
    m_state = State::Lingering;
    m_stateSince = m_loop.Now();
    m_input.clear();
    m_readable.Start();
    shutdown(m_socket.Get(), SHUT_WR);
  }
}

void
CallerSession::OnWritable()
{
  Write();
}

void
CallerSession::CheckTimeouts(TimePoint aNow)
{
  const Duration age = aNow - m_stateSince;
  if (m_state == State::Lingering) {
    if (age >= kLingerTimeout) {
      Close();
    }
    return;
  }
  if (m_state != State::Reading || m_written < m_output.size()) {
    return;
  }
  const CallerLimits limits = m_owner.Limits(m_peer);
  if (m_parser && m_parser->HasStarted()) {
    const Duration limit =
      m_parser->HasHeader() ? kBodyTimeout : limits.m_headerTimeout;
    if (age >= limit) {
      RejectRequest(408);
    }
  } else if (age >= limits.m_idleTimeout) {
    Close();
  }
}

} // namespace goldcrestkeel
