#pragma once

#include <goldcrestkeel/net/CommandDriver.h>
#include <goldcrestkeel/net/PeerClient.h>

#include <functional>
#include <string>

namespace goldcrestkeel {

/** Forwards commands and hands ranges over through a PeerClient. */
class PeerCommands : public CommandPeerClient
{
public:
  /** aAddressOf gives a host's peer address, empty if it is unknown. aClient
   *  must outlive this object. */
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
