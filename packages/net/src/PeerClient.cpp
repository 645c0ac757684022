#include "PeerCodec.h"

#include <goldcrestkeel/net/PeerClient.h>

#include <Peer.h>
#include <poll.h>
#include <thrift/TOutput.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TSocket.h>
#include <thrift/transport/TTransportException.h>

#include <cerrno>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace goldcrestkeel {

namespace {

using namespace apache::thrift;

constexpr std::size_t kMaxQueuedCalls = 4096;
// Connections that were idle for this time are not reused. Shorter than the
// server's idle timeout, so that the server does not close them first.
constexpr Duration kMaxIdleTime{ 30000000 }; // 30 s
constexpr std::size_t kMaxIdleConnectionsPerAddress = 4;

// Connection to a peer, used by one thread at a time.
class PeerConnection
{
public:
  PeerConnection(const std::string& aAddress, int aTimeoutMs)
    : m_socket(std::make_shared<transport::TSocket>(
        aAddress.substr(0, aAddress.rfind(':')),
        std::stoi(aAddress.substr(aAddress.rfind(':') + 1))))
    , m_transport(std::make_shared<transport::TFramedTransport>(
        m_socket,
        PeerThriftConfiguration()))
    , m_client(std::make_shared<protocol::TCompactProtocol>(m_transport))
  {
    SetTimeout(aTimeoutMs);
    m_socket->setNoDelay(true);
    m_transport->open();
  }

  void SetTimeout(int aTimeoutMs)
  {
    m_socket->setConnTimeout(aTimeoutMs);
    m_socket->setSendTimeout(aTimeoutMs);
    m_socket->setRecvTimeout(aTimeoutMs);
  }

  // An idle connection receives no data, so it is readable only if the peer has
  // closed it.
  bool IsOpen() const
  {
    pollfd state{ m_socket->getSocketFD(), POLLIN, 0 };
    return poll(&state, 1, 0) == 0;
  }

  peer::Envelope Exchange(const peer::Envelope& aRequest)
  {
    peer::Envelope reply;
    m_client.exchange(reply, aRequest);
    return reply;
  }

private:
  std::shared_ptr<transport::TSocket> m_socket;
  std::shared_ptr<transport::TFramedTransport> m_transport;
  peer::PeerClient m_client;
};

struct IdleConnection
{
  std::unique_ptr<PeerConnection> m_connection;
  TimePoint m_idleSince;
};

// Pool of idle connections by address. Thread-safe.
class ConnectionPool
{
public:
  // Returns nullptr if there is no usable idle connection.
  std::unique_ptr<PeerConnection> Acquire(const std::string& aAddress,
                                          TimePoint aNow)
  {
    std::lock_guard lock(m_mutex);
    auto& idle = m_idle[aAddress];
    while (!idle.empty()) {
      IdleConnection last = std::move(idle.back());
      idle.pop_back();
      if (aNow - last.m_idleSince < kMaxIdleTime &&
          last.m_connection->IsOpen()) {
        return std::move(last.m_connection);
      }
    }
    m_idle.erase(aAddress);
    return nullptr;
  }

  void Release(const std::string& aAddress,
               std::unique_ptr<PeerConnection> aConnection,
               TimePoint aNow)
  {
    std::lock_guard lock(m_mutex);
    auto& idle = m_idle[aAddress];
    if (idle.size() < kMaxIdleConnectionsPerAddress) {
      idle.push_back({ std::move(aConnection), aNow });
    }
    CloseExpired(aNow);
  }

private:
  void CloseExpired(TimePoint aNow)
  {
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
      std::erase_if(entry->second, [&](const IdleConnection& aIdle) {
        return aNow - aIdle.m_idleSince >= kMaxIdleTime;
      });
      entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
  }

  std::mutex m_mutex;
  std::map<std::string, std::vector<IdleConnection>> m_idle;
};

// Thrift reports a refused connection only in the text of its exception.
PeerCallFailure
ClassifyConnectError(const transport::TTransportException& aError)
{
  const std::string refused = TOutput::strerror_s(ECONNREFUSED);
  return std::string(aError.what()).find(refused) != std::string::npos
           ? PeerCallFailure::ConnectionRefused
           : PeerCallFailure::NotSent;
}

struct PendingCall
{
  std::string m_address;
  peer::PeerRequest m_request;
  TimePoint m_deadline;
  PeerClient::Done m_done;
};

} // namespace

class PeerClient::Impl
{
public:
  Impl(EventLoop& aLoop,
       EnvelopeAuthenticator& aAuthenticator,
       std::uint32_t aThreads)
    : m_loop(aLoop)
    , m_authenticator(aAuthenticator)
  {
    for (std::uint32_t i = 0; i < aThreads; ++i) {
      m_threads.emplace_back([this] { RunWorker(); });
    }
  }

  void Enqueue(PendingCall aCall)
  {
    {
      std::lock_guard lock(m_mutex);
      if (!m_stopped && m_queue.size() < kMaxQueuedCalls) {
        m_queue.push_back(std::move(aCall));
        m_queueChanged.notify_one();
        return;
      }
    }
    Deliver(aCall, PeerCallFailure::NotSent);
  }

  void Stop()
  {
    std::deque<PendingCall> dropped;
    {
      std::lock_guard lock(m_mutex);
      m_stopped = true;
      dropped.swap(m_queue);
      m_queueChanged.notify_all();
    }
    for (PendingCall& call : dropped) {
      Deliver(call, PeerCallFailure::NotSent);
    }
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  EventLoop& m_loop;

private:
  void RunWorker()
  {
    for (;;) {
      PendingCall call;
      {
        std::unique_lock lock(m_mutex);
        m_queueChanged.wait(lock,
                            [&] { return m_stopped || !m_queue.empty(); });
        if (m_queue.empty()) {
          return;
        }
        call = std::move(m_queue.front());
        m_queue.pop_front();
      }
      Result result = Execute(call);
      Deliver(call, std::move(result));
    }
  }

  void Deliver(PendingCall& aCall, Result aResult)
  {
    m_loop.Post(
      [done = std::move(aCall.m_done), result = std::move(aResult)]() mutable {
        done(std::move(result));
      });
  }

  Result Execute(const PendingCall& aCall)
  {
    const TimePoint now = m_loop.Now();
    const auto timeLeftMs =
      std::chrono::ceil<std::chrono::milliseconds>(aCall.m_deadline - now)
        .count();
    if (timeLeftMs <= 0) {
      return PeerCallFailure::NotSent;
    }
    const int timeoutMs = static_cast<int>(timeLeftMs);
    std::unique_ptr<PeerConnection> connection =
      m_pool.Acquire(aCall.m_address, now);
    try {
      if (connection) {
        connection->SetTimeout(timeoutMs);
      } else {
        connection =
          std::make_unique<PeerConnection>(aCall.m_address, timeoutMs);
      }
    } catch (const transport::TTransportException& error) {
      return ClassifyConnectError(error);
    } catch (const std::exception&) {
      return PeerCallFailure::NotSent;
    }
    return Exchange(aCall, std::move(connection));
  }

  Result Exchange(const PendingCall& aCall,
                  std::unique_ptr<PeerConnection> aConnection)
  {
    try {
      const peer::Envelope request = m_authenticator.SignRequest(
        aCall.m_address, EncodeMessage(aCall.m_request));
      const peer::Envelope reply = aConnection->Exchange(request);
      m_authenticator.AuthenticateReply(request, reply);
      Result result = DecodeMessage<peer::PeerReply>(reply.payload);
      m_pool.Release(aCall.m_address, std::move(aConnection), m_loop.Now());
      return result;
    } catch (const std::exception&) {
      // A Refused exception is not authenticated, so it does not prove that the
      // peer has not handled the request.
      return PeerCallFailure::NoReply;
    }
  }

  EnvelopeAuthenticator& m_authenticator;
  ConnectionPool m_pool;
  std::mutex m_mutex;
  std::condition_variable m_queueChanged;
  std::deque<PendingCall> m_queue;
  bool m_stopped = false;
  std::vector<std::thread> m_threads;
};

PeerClient::PeerClient(EventLoop& aLoop,
                       EnvelopeAuthenticator& aAuthenticator,
                       std::uint32_t aThreads)
  : m_impl(std::make_unique<Impl>(aLoop, aAuthenticator, aThreads))
{
}

PeerClient::~PeerClient()
{
  Stop();
}

void
PeerClient::Call(const std::string& aAddress,
                 const peer::PeerRequest& aRequest,
                 Duration aTimeout,
                 Done aDone)
{
  m_impl->Enqueue(
    { aAddress, aRequest, m_impl->m_loop.Now() + aTimeout, std::move(aDone) });
}

void
PeerClient::Stop()
{
  m_impl->Stop();
}

} // namespace goldcrestkeel
