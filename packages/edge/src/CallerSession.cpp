#include "CallerSession.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Bytes of further requests that are read while one is served. */
constexpr std::size_t kReadAhead = 256 * 1024;
/** A closed connection waits this long for the caller's close, so that unread
 *  bytes do not reset it before the caller has read the answer. */
constexpr Duration kLinger{ 1000000 };
/** A body may take this long after its header. */
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
  , m_since(aLoop.Now())
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
  return m_state == State::Reading && m_in.empty() &&
         (!m_reader || !m_reader->HasStarted()) && m_written == m_out.size();
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
    m_owner.OnGone(*this);
  }
  m_owner.OnEnd(*this);
}

void
CallerSession::OnReadable()
{
  const IoState state = ReadInto(m_socket, m_in);
  if (state == IoState::WouldBlock) {
    return;
  }
  if (state != IoState::Done) {
    Close();
    return;
  }
  switch (m_state) {
    case State::Reading:
      ParseNext();
      return;
    case State::Serving:
      if (m_in.size() > kReadAhead) {
        m_readable.Stop();
      }
      return;
    case State::Lingering:
      m_in.clear();
      return;
    case State::Ended:
      return;
  }
}

void
CallerSession::ParseNext()
{
  // Reply() may be called within OnRequest(); the loop then goes on here
  // instead of nesting.
  if (m_parsing) {
    return;
  }
  m_parsing = true;
  while (m_state == State::Reading && !m_closeAfter && !m_in.empty()) {
    if (!m_reader) {
      const CallerLimits limits = m_owner.Limits(m_peer);
      m_reader = std::make_unique<RequestParser>(limits.m_headerBytes,
                                                 limits.m_bodyBytes);
    }
    if (!m_reader->HasStarted()) {
      m_since = m_loop.Now();
    }
    const ParseState state = m_reader->Read(m_in);
    if (state == ParseState::Partial) {
      if (m_reader->ConsumeExpectContinue()) {
        m_out.append("HTTP/1.1 100 Continue\r\n\r\n");
        Write();
      }
      break;
    }
    if (state != ParseState::Complete) {
      Refuse(state == ParseState::HeaderTooLarge ? 431
             : state == ParseState::BodyTooLarge ? 413
                                                 : 400);
      break;
    }
    RequestMessage request = m_reader->Take();
    m_reader.reset();
    m_closeAfter = !request.m_keepAlive;
    m_head = request.m_method == "HEAD";
    m_state = State::Serving;
    m_owner.OnRequest(*this, std::move(request));
  }
  m_parsing = false;
}

void
CallerSession::Refuse(int aStatus)
{
  m_closeAfter = true;
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
  m_closeAfter = m_closeAfter || m_owner.IsStopping();
  m_out.reserve(m_out.size() + aReply.m_body.size() + 512);
  m_out.append("HTTP/1.1 ")
    .append(std::to_string(aReply.m_status))
    .append(" ")
    .append(ReasonPhrase(aReply.m_status))
    .append("\r\n");
  for (const auto& [name, value] : aReply.m_fields) {
    AppendField(m_out, name, value);
  }
  if (!IsBodyless(aReply.m_status)) {
    AppendField(m_out, "Content-Length", std::to_string(aReply.m_body.size()));
  }
  if (m_closeAfter) {
    AppendField(m_out, "Connection", "close");
  }
  m_out.append("\r\n");
  if (!m_head && !IsBodyless(aReply.m_status)) {
    m_out.append(aReply.m_body);
  }
  m_state = State::Reading;
  m_since = m_loop.Now();
  Write();
  if (m_state == State::Reading && !m_closeAfter) {
    m_readable.Start();
    ParseNext();
  }
}

void
CallerSession::Write()
{
  const IoState state = WriteFrom(m_socket, m_out, m_written);
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
  m_out.clear();
  m_written = 0;
  if (m_closeAfter && m_state == State::Reading) {
    m_state = State::Lingering;
    m_since = m_loop.Now();
    m_in.clear();
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
CallerSession::CheckTime(TimePoint aNow)
{
  const Duration age = aNow - m_since;
  if (m_state == State::Lingering) {
    if (age >= kLinger) {
      Close();
    }
    return;
  }
  if (m_state != State::Reading || m_written < m_out.size()) {
    return;
  }
  const CallerLimits limits = m_owner.Limits(m_peer);
  if (m_reader && m_reader->HasStarted()) {
    const Duration limit =
      m_reader->HasHeader() ? kBodyTimeout : limits.m_headerTimeout;
    if (age >= limit) {
      Refuse(408);
    }
  } else if (age >= limits.m_idleTimeout) {
    Close();
  }
}

} // namespace goldcrestkeel
