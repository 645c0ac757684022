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

/** Handles the requests of other entry hosts on the loop thread. */
class PeerRequestHandler
{
public:
  virtual ~PeerRequestHandler() = default;
  /** Handles a request of the host aSender. aReply is called once on the loop
   *  thread, from within Handle() or later. */
  virtual void Handle(const std::string& aSender,
                      const peer::PeerRequest& aRequest,
                      std::function<void(peer::PeerReply&&)> aReply) = 0;
};

/** Thrift server for other entry hosts with one thread per connection, because
 *  a forwarded command occupies its connection until it has finished and must
 *  not delay probes. Frames that are malformed, unauthenticated, expired or
 *  replayed are dropped and counted. */
class PeerServer
{
public:
  /** aAddress is "IP:port"; with port 0 the system chooses a free port. All
   *  references must outlive the server. */
  PeerServer(const std::string& aAddress,
             EventLoop& aLoop,
             EnvelopeAuthenticator& aAuthenticator,
             Metrics& aMetrics,
             PeerRequestHandler& aHandler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /** Returns when the server listens. Throws std::exception if it cannot listen
   *  at the address. */
  void Start();
  /** Stops listening and closes all connections. Requests that have not been
   *  answered are dropped. */
  void Stop();
  /** "IP:port" with the port that the server listens on. */
  std::string Address() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
