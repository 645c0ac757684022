#pragma once

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

namespace goldcrestkeel {

/** Maximum size of a frame between entry hosts. A frame holds a configuration
 *  of up to 1 MB with its envelope, or the command records of one range. */
inline constexpr int kMaxPeerFrameBytes = 8 * 1024 * 1024;

/** Thrift limits for messages and frames of the peer protocol. */
inline std::shared_ptr<apache::thrift::TConfiguration>
PeerThriftConfiguration()
{
  return std::make_shared<apache::thrift::TConfiguration>(kMaxPeerFrameBytes,
                                                          kMaxPeerFrameBytes);
}

/** Serializes a Thrift message with the compact protocol. */
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

/** Parses a Thrift message in the compact protocol. Throws
 *  apache::thrift::TException if aText is not a valid Message. */
template<typename Message>
Message
DecodeMessage(const std::string& aText)
{
  using namespace apache::thrift;
  // TMemoryBuffer takes a non-const pointer, but only reads with OBSERVE.
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
