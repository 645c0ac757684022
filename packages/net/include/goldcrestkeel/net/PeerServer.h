#pragma once

#include <goldcrestkeel/net/EventLoop.h>
#include <goldcrestkeel/net/Metrics.h>
#include <goldcrestkeel/net/PeerEnvelope.h>

#include <peer_types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace goldcrestkeel {

/** Receives the requests of other entry hosts on the loop thread. */
class PeerRequestHandler
{
public:
  virtual ~PeerRequestHandler() = default;
  /** aReply is called once, at once or later, on the loop thread. */
  virtual void Handle(const std::string& aSender,
                      const peer::PeerRequest& aRequest,
                      std::function<void(peer::PeerReply&&)> aReply) = 0;
};

/** Thrift server for other entry hosts, with one thread for each connection:
 *  a forwarded command occupies its connection until it has finished, and must
 *  not delay probes. Frames that are malformed, unauthenticated, old or
 *  repeated are dropped and counted. */
class PeerServer
{
public:
  /** aAddress is "IP:port"; port 0 lets the system choose. All references must
   *  outlive the server. */
  PeerServer(const std::string& aAddress,
             EventLoop& aLoop,
             EnvelopeAuthenticator& aAuthenticator,
             Metrics& aMetrics,
             PeerRequestHandler& aHandler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /** Listens; throws std::exception if the address cannot be used. */
  void Start();
  /** Closes all connections. Requests that the loop has not answered are
   *  dropped. */
  void Stop();
  /** "IP:port" with the real port. */
  std::string Address() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
