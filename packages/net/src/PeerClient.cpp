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

// Calls that may wait for a thread.
constexpr std::size_t kMaxQueued = 4096;
// An idle connection is not used again after this time; the server closes it
// after a longer one.
constexpr Duration kMaxIdle{ 30000000 };
constexpr std::size_t kMaxIdlePerAddress = 4;

// One connection to one peer, used by one thread at a time.
class Connection
{
public:
  Connection(const std::string& aAddress, int aTimeoutMs)
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

  // An idle connection with anything to read has been closed by the peer.
  bool Usable() const
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
  std::unique_ptr<Connection> m_connection;
  TimePoint m_since;
};

// Idle connections by address. Thread-safe.
class ConnectionPool
{
public:
  std::unique_ptr<Connection> Take(const std::string& aAddress, TimePoint aNow)
  {
    std::lock_guard lock(m_mutex);
    auto& idle = m_idle[aAddress];
    while (!idle.empty()) {
      IdleConnection last = std::move(idle.back());
      idle.pop_back();
      if (aNow - last.m_since < kMaxIdle && last.m_connection->Usable()) {
        return std::move(last.m_connection);
      }
    }
    m_idle.erase(aAddress);
    return nullptr;
  }

  void Keep(const std::string& aAddress,
            std::unique_ptr<Connection> aConnection,
            TimePoint aNow)
  {
    std::lock_guard lock(m_mutex);
    auto& idle = m_idle[aAddress];
    if (idle.size() < kMaxIdlePerAddress) {
      idle.push_back({ std::move(aConnection), aNow });
    }
    CloseOld(aNow);
  }

private:
  void CloseOld(TimePoint aNow)
  {
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
      std::erase_if(entry->second, [&](const IdleConnection& aIdle) {
        return aNow - aIdle.m_since >= kMaxIdle;
      });
      entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
  }

  std::mutex m_mutex;
  std::map<std::string, std::vector<IdleConnection>> m_idle;
};

// Thrift reports a refused connection only in the text of the exception.
PeerCallFailure
ConnectFailure(const transport::TTransportException& aError)
{
  const std::string refused = TOutput::strerror_s(ECONNREFUSED);
  return std::string(aError.what()).find(refused) != std::string::npos
           ? PeerCallFailure::ConnectionRefused
           : PeerCallFailure::NotSent;
}

struct Job
{
  std::string m_address;
  peer::PeerRequest m_request;
  TimePoint m_limit;
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
      m_threads.emplace_back([this] { Work(); });
    }
  }

  void Add(Job aJob)
  {
    {
      std::lock_guard lock(m_mutex);
      if (!m_stopped && m_jobs.size() < kMaxQueued) {
        m_jobs.push_back(std::move(aJob));
        m_wake.notify_one();
        return;
      }
    }
    Deliver(aJob, PeerCallFailure::NotSent);
  }

  void Stop()
  {
    std::deque<Job> dropped;
    {
      std::lock_guard lock(m_mutex);
      m_stopped = true;
      dropped.swap(m_jobs);
      m_wake.notify_all();
    }
    for (Job& job : dropped) {
      Deliver(job, PeerCallFailure::NotSent);
    }
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  EventLoop& m_loop;

private:
  void Work()
  {
    for (;;) {
      Job job;
      {
        std::unique_lock lock(m_mutex);
        m_wake.wait(lock, [&] { return m_stopped || !m_jobs.empty(); });
        if (m_jobs.empty()) {
          return;
        }
        job = std::move(m_jobs.front());
        m_jobs.pop_front();
      }
      Result result = Carry(job);
      Deliver(job, std::move(result));
    }
  }

  void Deliver(Job& aJob, Result aResult)
  {
    m_loop.Post(
      [done = std::move(aJob.m_done), result = std::move(aResult)]() mutable {
        done(std::move(result));
      });
  }

  Result Carry(const Job& aJob)
  {
    const TimePoint now = m_loop.Now();
    const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(aJob.m_limit - now).count();
    if (left <= 0) {
      return PeerCallFailure::NotSent;
    }
    const int timeoutMs = static_cast<int>(left);
    std::unique_ptr<Connection> connection = m_pool.Take(aJob.m_address, now);
    try {
      if (connection) {
        connection->SetTimeout(timeoutMs);
      } else {
        connection = std::make_unique<Connection>(aJob.m_address, timeoutMs);
      }
    } catch (const transport::TTransportException& error) {
      return ConnectFailure(error);
    } catch (const std::exception&) {
      return PeerCallFailure::NotSent;
    }
    return Exchange(aJob, std::move(connection));
  }

  Result Exchange(const Job& aJob, std::unique_ptr<Connection> aConnection)
  {
    try {
      const peer::Envelope request = m_authenticator.SignRequest(
        aJob.m_address, EncodeMessage(aJob.m_request));
      const peer::Envelope reply = aConnection->Exchange(request);
      m_authenticator.AuthenticateReply(request, reply);
      Result result = DecodeMessage<peer::PeerReply>(reply.payload);
      m_pool.Keep(aJob.m_address, std::move(aConnection), m_loop.Now());
      return result;
    } catch (const std::exception&) {
      // A refusal is not authenticated, so it proves nothing either.
      return PeerCallFailure::NoReply;
    }
  }

  EnvelopeAuthenticator& m_authenticator;
  ConnectionPool m_pool;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<Job> m_jobs;
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
  m_impl->Add(
    { aAddress, aRequest, m_impl->m_loop.Now() + aTimeout, std::move(aDone) });
}

void
PeerClient::Stop()
{
  m_impl->Stop();
}

} // namespace goldcrestkeel
