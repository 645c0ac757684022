#pragma once

#include <goldcrestkeel/net/CommandDriver.h>
#include <goldcrestkeel/net/PeerClient.h>

#include <functional>
#include <string>

namespace goldcrestkeel {

/** Forwards commands to their owners and hands over key ranges through a
 *  PeerClient. */
class PeerCommands : public CommandPeerClient
{
public:
  /** aAddressOf returns the peer address of a host, or an empty string if the
   *  host is unknown. aLoop and aClient must outlive this object. */
  PeerCommands(EventLoop& aLoop,
               PeerClient& aClient,
               std::function<std::string(const std::string&)> aAddressOf);

  void Forward(const ForwardCommand& aForward,
               Duration aTimeLeft,
               Done aDone) override;
  void Handover(const SendHandover& aHandover, HandoverDone aDone) override;

private:
  EventLoop& m_loop;
  PeerClient& m_client;
  std::function<std::string(const std::string&)> m_addressOf;
};

} // namespace goldcrestkeel
