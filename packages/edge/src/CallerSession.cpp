#include "CallerSession.h"

#include "RelayFields.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

namespace {

/** A buffer that is larger than this is freed or shrunk once most of it is
 *  unused. */
constexpr std::size_t kMaxUnusedBytes = 4096;
/** Retry-After, in seconds, of a request that was refused because the sessions
 *  hold too much memory. */
constexpr std::string_view kMemoryRetryAfterS = "1";
/** A connection that is being closed waits this long for the close of the peer.
 *  Closing it with unread input would reset it, possibly before the peer has
 *  read the response. */
constexpr Duration kLingerTimeout{ 1000000 };
/** Longest time from the first byte of a request to the end of its body;
 *  applies once the header is complete. */
constexpr Duration kBodyTimeout{ 30000000 };

void
FreeUnused(std::string& aText)
{
  if (aText.capacity() > kMaxUnusedBytes &&
      aText.size() < aText.capacity() / 4) {
    aText.shrink_to_fit();
  }
}

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
                             SessionMemory& aMemory,
                             Owner& aOwner)
  : m_loop(aLoop)
  , m_id(aId)
  , m_peer(aPeer)
  , m_socket(std::move(aSocket))
  , m_limits(aMemory.m_limits)
  , m_budget(aMemory.m_budget)
  , m_owner(aOwner)
  , m_stateSince(aLoop.Now())
  , m_readable(aLoop,
               m_socket.Get(),
               Watch::On::Readable,
               [this] { OnReadable(); })
  , m_writable(aLoop,
               m_socket.Get(),
               Watch::On::Writable,
               [this] { OnWritable(); })
  , m_reservation(aMemory.m_budget, *this)
{
  m_readable.Start();
}

bool
CallerSession::IsIdle() const
{
  return m_state == State::Reading && m_input.empty() &&
         (!m_parser || !m_parser->HasStarted()) && !HasUnreadAnswer();
}

std::optional<TimePoint>
CallerSession::WaitingSince() const
{
  const bool waiting = m_state == State::Lingering ||
                       (m_state == State::Reading && !HasUnreadAnswer());
  return waiting && !m_parsing ? std::optional<TimePoint>(m_stateSince)
                               : std::nullopt;
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
  m_parser.reset();
  m_requestBytes = 0;
  std::string().swap(m_input);
  std::string().swap(m_output);
  m_written = 0;
  m_reservation.Set(0);
  if (serving) {
    m_owner.OnPeerDisconnected(*this);
  }
  m_owner.OnSessionEnded(*this);
}

void
CallerSession::CloseFor(RefusalReason aReason)
{
  m_owner.OnRefused(*this, { aReason, 0, m_reservation.Bytes() });
  Close();
}

void
CallerSession::OnReadable()
{
  const IoState state = ReadInto(m_socket, m_input, ReadLimit());
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
      break;
    case State::Serving:
      break;
    case State::Lingering:
      m_input.clear();
      FreeUnused(m_input);
      break;
    case State::Ended:
      return;
  }
  UpdateReading();
  AccountMemory();
}

void
CallerSession::UpdateReading()
{
  if (m_parsing || m_state == State::Ended) {
    return;
  }
  const bool read =
    m_state == State::Lingering ||
    (m_state == State::Reading && !HasUnreadAnswer()) ||
    (m_state == State::Serving && m_input.size() < ReadAheadLimit());
  if (read) {
    m_readable.Start();
  } else {
    m_readable.Stop();
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
  while (m_state == State::Reading && !m_closeAfterReply &&
         !HasUnreadAnswer() && !m_input.empty()) {
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
      if (state == ParseState::HeaderTooLarge) {
        RejectRequest(RefusalReason::HeaderTooLarge, 431);
      } else if (state == ParseState::BodyTooLarge) {
        RejectRequest(RefusalReason::BodyTooLarge, 413);
      } else {
        RejectRequest(RefusalReason::Malformed, 400);
      }
      break;
    }
    RequestMessage request = m_parser->Take();
    m_parser.reset();
    m_closeAfterReply = !request.m_keepAlive;
    m_head = request.m_method == "HEAD";
    m_state = State::Serving;
    m_receivedRequest = true;
    // The copies that are sent have the texts once more.
    const std::size_t fieldBytes = MemoryOf(request.m_fields);
    m_requestBytes = 2 * (fieldBytes + request.m_body.capacity());
    AccountMemory();
    if (m_budget.HeldBytes() > m_budget.Limit() &&
        m_requestBytes > MemoryBudget::kMinReleasedBytes) {
      RejectRequest(RefusalReason::MemoryFull, 503);
      break;
    }
    m_owner.OnRequest(*this, std::move(request));
  }
  m_parsing = false;
  FreeUnused(m_input);
}

void
CallerSession::RejectRequest(RefusalReason aReason, int aStatus)
{
  m_owner.OnRefused(*this, { aReason, aStatus, m_reservation.Bytes() });
  m_parser.reset();
  m_input.clear();
  FreeUnused(m_input);
  m_closeAfterReply = true;
  m_head = false;
  m_state = State::Serving;
  CallerReply reply;
  reply.m_status = aStatus;
  if (aReason == RefusalReason::MemoryFull) {
    reply.m_fields.emplace_back("Retry-After", kMemoryRetryAfterS);
  }
  if (m_peer == SessionPeer::Host) {
    reply.m_fields.emplace_back(kCopiesField, "0");
    reply.m_fields.emplace_back(kUnavailableField, "1");
  }
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
  m_requestBytes = 0;
  m_state = State::Reading;
  m_stateSince = m_loop.Now();
  m_writtenAt = m_stateSince;
  Write();
  Resume();
  AccountMemory();
}

void
CallerSession::Resume()
{
  if (m_state == State::Reading && !m_closeAfterReply && !HasUnreadAnswer()) {
    ParseRequests();
  }
  UpdateReading();
}

void
CallerSession::Write()
{
  const std::size_t before = m_written;
  const IoState state = WriteFrom(m_socket, m_output, m_written);
  if (state == IoState::Failed) {
    Close();
    return;
  }
  if (m_written != before) {
    m_writtenAt = m_loop.Now();
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
  FreeUnused(m_output);
  m_written = 0;
  if (m_closeAfterReply && m_state == State::Reading) {
    m_state = State::Lingering;
    m_stateSince = m_loop.Now();
    m_input.clear();
    FreeUnused(m_input);
    shutdown(m_socket.Get(), SHUT_WR);
  }
}

void
CallerSession::OnWritable()
{
  Write();
  Resume();
  AccountMemory();
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
  if (m_state != State::Reading) {
    return;
  }
  if (HasUnreadAnswer()) {
    if (aNow - m_writtenAt >= m_limits.m_unreadTimeout) {
      CloseFor(RefusalReason::AnswerUnread);
    }
    return;
  }
  const CallerLimits limits = m_owner.Limits(m_peer);
  if (m_parser && m_parser->HasStarted()) {
    const Duration limit =
      m_parser->HasHeader() ? kBodyTimeout : limits.m_headerTimeout;
    if (age >= limit) {
      RejectRequest(RefusalReason::Timeout, 408);
    }
  } else if (age >= limits.m_idleTimeout) {
    Close();
  }
}

} // namespace goldcrestkeel
