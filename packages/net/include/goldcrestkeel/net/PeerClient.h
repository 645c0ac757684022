#pragma once

#include <goldcrestkeel/net/EventLoop.h>
#include <goldcrestkeel/net/PeerEnvelope.h>

#include <peer_types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace goldcrestkeel {

enum class PeerCallFailure
{
  /** The connection was refused: no process listens at the address. */
  ConnectionRefused,
  /** No connection was established for another reason, or the call was not
   *  attempted. The peer has certainly not received the request. */
  NotSent,
  /** The request was sent but no valid reply arrived. The peer may have
   *  received it. */
  NoReply,
};

/** Calls other entry hosts over Thrift. The Thrift client blocks, so calls run
 *  on a fixed number of threads and wait in a queue for a free one. A call
 *  fails with NotSent if the queue is full. */
class PeerClient
{
public:
  using Result = std::variant<peer::PeerReply, PeerCallFailure>;
  using Done = std::function<void(Result&&)>;

  /** aThreads is the maximum number of concurrent calls. Both references must
   *  outlive the client. */
  PeerClient(EventLoop& aLoop,
             EnvelopeAuthenticator& aAuthenticator,
             std::uint32_t aThreads);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /** Sends aRequest to aAddress ("IP:port"). aTimeout includes the time in the
   *  queue. aDone is called exactly once, on the loop thread and never from
   *  within Call(). */
  void Call(const std::string& aAddress,
            const peer::PeerRequest& aRequest,
            Duration aTimeout,
            Done aDone);

  /** Fails queued calls with NotSent and joins the threads. Running calls end
   *  at their timeout at the latest. */
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
