#pragma once

#include <goldcrestkeel/net/CommandDriver.h>
#include <goldcrestkeel/net/ControlDriver.h>
#include <goldcrestkeel/net/Metrics.h>
#include <goldcrestkeel/net/PeerServer.h>

namespace goldcrestkeel {

/** Dispatches the requests of other entry hosts to the control driver or the
 *  command driver. */
class PeerDispatch : public PeerRequestHandler
{
public:
  /** All references must outlive this object. */
  PeerDispatch(ControlDriver& aControl,
               CommandDriver& aCommands,
               Metrics& aMetrics);

  void Handle(const std::string& aSender,
              const peer::PeerRequest& aRequest,
              std::function<void(peer::PeerReply&&)> aReply) override;

private:
  void Dispatch(const std::string& aSender,
                const peer::PeerRequest& aRequest,
                const std::function<void(peer::PeerReply&&)>& aReply);

  ControlDriver& m_control;
  CommandDriver& m_commands;
  Metrics& m_metrics;
};

} // namespace goldcrestkeel
