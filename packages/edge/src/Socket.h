#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace goldcrestkeel {

/** Owns a socket descriptor and closes it on destruction. */
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
  }
  ~Socket() { Close(); }
  Socket(Socket&& aOther) noexcept
    : m_descriptor(std::exchange(aOther.m_descriptor, -1))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept
  {
    std::swap(m_descriptor, aOther.m_descriptor);
    return *this;
  }

  int Get() const { return m_descriptor; }
  bool IsOpen() const { return m_descriptor >= 0; }
  void Close();

private:
  int m_descriptor = -1;
};

/** Parses an IPv4 address of the form "IP:port". Throws std::runtime_error,
 *  with aText, for any other text. */
sockaddr_in
ParseAddress(const std::string& aText);

/** Opens a non-blocking listening socket. Throws std::runtime_error if aAddress
 *  is not of the form "IP:port", and std::system_error, with the address, if it
 *  cannot be listened on. */
Socket
ListenOn(const std::string& aAddress);

/** Starts a non-blocking connect. aInProgress is set if its result is still
 *  pending. Returns a closed socket if the connect failed at once. */
Socket
BeginConnect(const sockaddr_in& aAddress, bool& aInProgress);

/** Accepts the next pending connection; returns a closed socket if there is
 *  none. */
Socket
AcceptFrom(const Socket& aListener);

/** Result of a non-blocking read or write. */
enum class IoState
{
  Done,
  WouldBlock,
  /** The peer has closed its side. */
  Ended,
  Failed,
};

/** Limit of the bytes that are read at once. */
inline constexpr std::size_t kReadBufferBytes = 64 * 1024;

/** Reads once, at most aMaxBytes and kReadBufferBytes, and appends the bytes to
 *  aBytes. */
IoState
ReadInto(const Socket& aSocket,
         std::string& aBytes,
         std::size_t aMaxBytes = kReadBufferBytes);

/** Writes aParts, one after the other, from aOffset on, which counts from the
 *  start of the first, and advances aOffset by the bytes written. Done means
 *  that all bytes are written. */
IoState
WriteFrom(const Socket& aSocket,
          std::span<const std::string_view> aParts,
          std::size_t& aOffset);
/** The same for bytes in one part. */
IoState
WriteFrom(const Socket& aSocket,
          const std::string& aBytes,
          std::size_t& aOffset);

} // namespace goldcrestkeel
