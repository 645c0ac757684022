#pragma once

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

namespace goldcrestkeel {

/** Largest frame between entry hosts: a configuration of 1 MB with room for
 *  the envelope, or the records of one range. */
inline constexpr int kMaxPeerFrameBytes = 8 * 1024 * 1024;

inline std::shared_ptr<apache::thrift::TConfiguration>
PeerThriftConfiguration()
{
  return std::make_shared<apache::thrift::TConfiguration>(kMaxPeerFrameBytes,
                                                          kMaxPeerFrameBytes);
}

/** aMessage in the compact protocol. */
template<typename Message>
std::string
EncodeMessage(const Message& aMessage)
{
  using namespace apache::thrift;
  const auto buffer = std::make_shared<transport::TMemoryBuffer>();
  protocol::TCompactProtocol protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

/** Throws apache::thrift::TException if aText is not a Message. */
template<typename Message>
Message
DecodeMessage(const std::string& aText)
{
  using namespace apache::thrift;
  // The buffer only reads, but takes a pointer to non-constant bytes.
  auto* bytes =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aText.data()));
  const auto buffer = std::make_shared<transport::TMemoryBuffer>(
    bytes,
    static_cast<std::uint32_t>(aText.size()),
    transport::TMemoryBuffer::OBSERVE,
    PeerThriftConfiguration());
  protocol::TCompactProtocol protocol(buffer);
  Message message;
  message.read(&protocol);
  return message;
}

} // namespace goldcrestkeel
