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
  /** No connection was made for another reason, or the call was never tried:
   *  the peer has certainly not received it. */
  NotSent,
  /** The call may have been received. */
  NoReply,
};

/** Calls to other entry hosts over Thrift. Thrift's client blocks, so the calls
 *  run on a fixed number of threads; a call that finds its queue full fails
 *  with NotSent. */
class PeerClient
{
public:
  using Result = std::variant<peer::PeerReply, PeerCallFailure>;
  using Done = std::function<void(Result&&)>;

  /** aThreads is the number of calls that run at once. Both references must
   *  outlive the client. */
  PeerClient(EventLoop& aLoop,
             EnvelopeAuthenticator& aAuthenticator,
             std::uint32_t aThreads);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /** aDone is called once on the loop thread, never from within the call. */
  void Call(const std::string& aAddress,
            const peer::PeerRequest& aRequest,
            Duration aTimeout,
            Done aDone);

  /** Fails the calls that wait and joins the threads; those that run end at
   *  their time-out. */
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
