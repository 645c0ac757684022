#include "Socket.h"

#include <goldcrestkeel/net/Address.h>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <system_error>

namespace goldcrestkeel {

namespace {

/** Length of the queue of connections that are not accepted yet. */
constexpr int kBacklog = 512;
/** Parts of a message that one system call writes. */
constexpr std::size_t kMaxPartsAtOnce = 4;
/** Receive buffer of an accepted connection, in bytes, for which the kernel
 *  reserves twice as much. What the process does not read, such as requests
 * sent ahead, stays there; a buffer that the kernel sizes grows to megabytes.
 */
constexpr int kReceiveBufferBytes = 8 * 1024;
/** If sent data is unacknowledged for this long, the peer counts as unreachable
 *  and the connection is closed, which frees its descriptor. */
constexpr unsigned kUserTimeoutMs = 4000;
/** TCP keep-alive probes of idle connections, in seconds. They detect a peer
 *  that became unreachable while nothing was sent. If their number allows more
 *  time than kUserTimeoutMs, the latter decides. */
constexpr int kKeepAliveIdleS = 2;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

void
SetOption(int aDescriptor, int aLevel, int aName, int aValue)
{
  // Errors are ignored: without an option, only the detection of dead peers or
  // the latency is worse.
  setsockopt(aDescriptor, aLevel, aName, &aValue, sizeof aValue);
}

void
SetTcpOptions(int aDescriptor)
{
  SetOption(aDescriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(aDescriptor,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(kUserTimeoutMs));
}

const sockaddr*
ToSockaddr(const sockaddr_in& aAddress)
{
  return reinterpret_cast<const sockaddr*>(&aAddress);
}

} // namespace

void
Socket::Close()
{
  if (m_descriptor >= 0) {
    close(m_descriptor);
    m_descriptor = -1;
  }
}

sockaddr_in
ParseAddress(const std::string& aText)
{
  const auto address = ParseSocketAddress(aText);
  if (!address) {
    throw std::runtime_error("\"" + aText +
                             "\" is not an address of the form IP:port");
  }
  return *address;
}

Socket
ListenOn(const std::string& aAddress)
{
  const sockaddr_in address = ParseAddress(aAddress);
  Socket listener(
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  SetOption(listener.Get(), SOL_SOCKET, SO_REUSEADDR, 1);
  // Accepted connections inherit it. Set later, it would not limit the window
  // that is advertised first.
  SetOption(listener.Get(), SOL_SOCKET, SO_RCVBUF, kReceiveBufferBytes);
  if (bind(listener.Get(), ToSockaddr(address), sizeof address) != 0 ||
      listen(listener.Get(), kBacklog) != 0) {
    throw std::system_error(
      errno, std::generic_category(), "cannot listen on " + aAddress);
  }
  return listener;
}

Socket
BeginConnect(const sockaddr_in& aAddress, bool& aInProgress)
{
  Socket client(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  aInProgress = false;
  if (!client.IsOpen()) {
    return client;
  }
  SetTcpOptions(client.Get());
  if (connect(client.Get(), ToSockaddr(aAddress), sizeof aAddress) != 0) {
    aInProgress = errno == EINPROGRESS;
    if (!aInProgress) {
      client.Close();
    }
  }
  return client;
}

Socket
AcceptFrom(const Socket& aListener)
{
  Socket accepted(
    accept4(aListener.Get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (accepted.IsOpen()) {
    SetTcpOptions(accepted.Get());
  }
  return accepted;
}

IoState
ReadInto(const Socket& aSocket, std::string& aBytes, std::size_t aMaxBytes)
{
  static thread_local std::array<char, kReadBufferBytes> sBuffer;
  const ssize_t count =
    recv(aSocket.Get(), sBuffer.data(), std::min(sBuffer.size(), aMaxBytes), 0);
  if (count > 0) {
    aBytes.append(sBuffer.data(), static_cast<std::size_t>(count));
    return IoState::Done;
  }
  if (count == 0) {
    return IoState::Ended;
  }
  const bool again = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return again ? IoState::WouldBlock : IoState::Failed;
}

IoState
WriteFrom(const Socket& aSocket,
          std::span<const std::string_view> aParts,
          std::size_t& aOffset)
{
  while (true) {
    std::array<iovec, kMaxPartsAtOnce> unwritten{};
    std::size_t count = 0;
    std::size_t skipped = aOffset;
    for (const std::string_view part : aParts) {
      const std::size_t skip = std::min(skipped, part.size());
      skipped -= skip;
      if (skip < part.size() && count < unwritten.size()) {
        // sendmsg() does not change the bytes.
        unwritten.at(count++) = { const_cast<char*>(part.data()) + skip,
                                  part.size() - skip };
      }
    }
    if (count == 0) {
      return IoState::Done;
    }
    msghdr message{};
    message.msg_iov = unwritten.data();
    message.msg_iovlen = count;
    const ssize_t written = sendmsg(aSocket.Get(), &message, MSG_NOSIGNAL);
    if (written < 0) {
      if (errno == EINTR) {
        continue;
      }
      const bool again = errno == EAGAIN || errno == EWOULDBLOCK;
      return again ? IoState::WouldBlock : IoState::Failed;
    }
    aOffset += static_cast<std::size_t>(written);
  }
}

IoState
WriteFrom(const Socket& aSocket,
          const std::string& aBytes,
          std::size_t& aOffset)
{
  const std::string_view part(aBytes);
  return WriteFrom(aSocket, { &part, 1 }, aOffset);
}

} // namespace goldcrestkeel
