#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <string>
#include <utility>

namespace goldcrestkeel {

/** Owns a descriptor. */
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

/** Throws std::runtime_error, which names aText, if it is no "IP:port". */
sockaddr_in
ParseAddress(const std::string& aText);

/** Listens without blocking. Throws std::system_error, which names the address.
 */
Socket
ListenOn(const std::string& aAddress);

/** Begins to connect. aInProgress tells whether the result comes later. Returns
 *  a closed socket if the connection failed at once. */
Socket
BeginConnect(const sockaddr_in& aAddress, bool& aInProgress);

/** Next connection of a listener; closed if there is none. */
Socket
AcceptFrom(const Socket& aListener);

enum class IoState
{
  Done,
  WouldBlock,
  /** The peer has closed its side. */
  Ended,
  Failed,
};

/** Appends what can be read at once to aBytes. */
IoState
ReadInto(const Socket& aSocket, std::string& aBytes);

/** Writes aBytes from aOffset on, which moves forward. */
IoState
WriteFrom(const Socket& aSocket,
          const std::string& aBytes,
          std::size_t& aOffset);

} // namespace goldcrestkeel
