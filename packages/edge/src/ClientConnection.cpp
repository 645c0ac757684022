#include "ClientConnection.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace goldcrestkeel {

namespace {

/** An input buffer that is larger than this is freed once it is empty. */
constexpr std::size_t kMaxIdleInputBytes = 4096;

// Of a response that cannot be parsed further.
ConnectionEnd
EndOf(ParseState aState)
{
  return aState == ParseState::BodyTooLarge ||
             aState == ParseState::HeaderTooLarge
           ? ConnectionEnd::TooLarge
           : ConnectionEnd::Malformed;
}

} // namespace

ClientConnection::ClientConnection(Loop& aLoop,
                                   const sockaddr_in& aAddress,
                                   std::uint64_t aMaxAnswerBytes,
                                   Owner& aOwner)
  : m_loop(aLoop)
  , m_maxAnswerBytes(aMaxAnswerBytes)
  , m_owner(aOwner)
{
  bool inProgress = false;
  m_socket = BeginConnect(aAddress, inProgress);
  if (!m_socket.IsOpen()) {
    m_failTimer.emplace(m_loop, [this] { End(ConnectionEnd::Refused); });
    m_failTimer->SetAfter(Duration(0));
    return;
  }
  m_readable.emplace(
    m_loop, m_socket.Get(), Watch::On::Readable, [this] { OnReadable(); });
  m_writable.emplace(
    m_loop, m_socket.Get(), Watch::On::Writable, [this] { OnWritable(); });
  // A connection that is established at once is also reported by an event, so
  // that the owner is never called from the constructor.
  m_writable->Start();
}

bool
ClientConnection::IsReusable() const
{
  return m_connected && m_keepAlive && !m_broken && !HasRequest() &&
         m_input.empty() && m_output.empty();
}

void
ClientConnection::Send(RequestBytes aRequest, bool aHead)
{
  m_output = std::move(aRequest);
  m_written = 0;
  m_head = aHead;
  m_heldBytes = 0;
  m_parser = std::make_unique<ResponseParser>(aHead, m_maxAnswerBytes);
  if (m_connected && !Write()) {
    m_broken = true;
    m_failTimer.emplace(m_loop, [this] {
      End(WasSent() ? ConnectionEnd::Broken : ConnectionEnd::NotSent);
    });
    m_failTimer->SetAfter(Duration(0));
  }
}

void
ClientConnection::CancelUnsent()
{
  m_output = RequestBytes();
  m_written = 0;
  m_parser.reset();
}

void
ClientConnection::Close()
{
  m_broken = true;
  if (m_readable) {
    m_readable->Stop();
    m_writable->Stop();
  }
  if (m_failTimer) {
    m_failTimer->Cancel();
  }
  m_socket.Close();
  m_output = RequestBytes();
}

bool
ClientConnection::Write()
{
  const bool first = m_written == 0;
  const IoState state = WriteFrom(m_socket, m_output.Parts(), m_written);
  if (state == IoState::Done) {
    m_output = RequestBytes();
  }
  if (first && m_written > 0) {
    m_owner.Sent(*this);
  }
  if (state == IoState::WouldBlock) {
    m_writable->Start();
  } else {
    m_writable->Stop();
  }
  return state != IoState::Failed;
}

void
ClientConnection::OnWritable()
{
  if (!m_connected) {
    OnConnectFinished();
    return;
  }
  if (!Write()) {
    // The server may have sent a response before it closed the connection.
    // Reading it reports the end.
    m_writable->Stop();
    m_broken = true;
  }
}

void
ClientConnection::OnConnectFinished()
{
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(m_socket.Get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    End(error == ECONNREFUSED ? ConnectionEnd::Refused
                              : ConnectionEnd::NotSent);
    return;
  }
  m_connected = true;
  m_writable->Stop();
  m_readable->Start();
  m_owner.Connected(*this);
  if (HasRequest() && !Write()) {
    m_broken = true;
  }
}

void
ClientConnection::OnReadable()
{
  const std::size_t before = m_input.size();
  const IoState state = ReadInto(m_socket, m_input);
  m_heldBytes += m_input.size() - before;
  if (state == IoState::WouldBlock) {
    return;
  }
  if (!HasRequest()) {
    End(ConnectionEnd::Idle);
    return;
  }
  if (state == IoState::Done) {
    ParseState read = m_parser->Read(m_input);
    if (read == ParseState::Complete) {
      Deliver();
    } else if (read == ParseState::Partial) {
      ReleaseInput();
      m_owner.Received(*this);
    } else {
      End(EndOf(read));
    }
    return;
  }
  if (m_parser->HasStarted()) {
    const bool complete =
      state == IoState::Ended && m_parser->End() == ParseState::Complete;
    m_keepAlive = false;
    if (complete) {
      Deliver();
    } else {
      End(ConnectionEnd::Malformed);
    }
    return;
  }
  End(WasSent() ? ConnectionEnd::Broken : ConnectionEnd::NotSent);
}

void
ClientConnection::Deliver()
{
  while (true) {
    ResponseMessage answer = m_parser->Take();
    m_keepAlive = m_keepAlive && answer.m_keepAlive;
    const AnswerMatch match = m_owner.MatchRequest(*this, answer);
    if (match == AnswerMatch::Belongs) {
      ReleaseInput();
      m_parser.reset();
      m_heldBytes = 0;
      m_owner.Answered(*this, std::move(answer));
      return;
    }
    m_parser = std::make_unique<ResponseParser>(m_head, m_maxAnswerBytes);
    m_heldBytes = m_input.size();
    const ParseState read = m_keepAlive && match == AnswerMatch::Other
                              ? m_parser->Read(m_input)
                              : ParseState::Malformed;
    if (read == ParseState::Partial) {
      m_owner.Received(*this);
      return;
    }
    if (read != ParseState::Complete) {
      End(ConnectionEnd::Malformed);
      return;
    }
  }
}

void
ClientConnection::ReleaseInput()
{
  if (m_input.empty() && m_input.capacity() > kMaxIdleInputBytes) {
    std::string().swap(m_input);
  }
}

void
ClientConnection::End(ConnectionEnd aEnd)
{
  m_broken = true;
  m_owner.Ended(*this, aEnd);
}

} // namespace goldcrestkeel
