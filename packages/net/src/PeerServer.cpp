#include "PeerCodec.h"

#include <goldcrestkeel/net/Log.h>
#include <goldcrestkeel/net/PeerServer.h>

#include <Peer.h>
#include <thrift/TOutput.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <atomic>
#include <future>
#include <thread>

namespace goldcrestkeel {

namespace {

using namespace apache::thrift;

// Idle connections are closed after this time.
constexpr int kIdleTimeoutMs = 60000;
constexpr int kSendTimeoutMs = 5000;
// Maximum number of connections from other hosts. Each one has a thread.
constexpr std::int64_t kMaxConnections = 1024;
// Maximum time that a connection thread waits for the reply to a request.
constexpr std::chrono::seconds kReplyTimeout{ 120 };
// Interval at which a waiting connection thread checks whether the server
// stops.
constexpr std::chrono::milliseconds kStopPollInterval{ 50 };

// Authenticates requests and passes them to the loop thread.
class ThriftHandler : public peer::PeerIf
{
public:
  ThriftHandler(EventLoop& aLoop,
                EnvelopeAuthenticator& aAuthenticator,
                Metrics& aMetrics,
                PeerRequestHandler& aHandler,
                std::shared_ptr<std::atomic<bool>> aStopping,
                std::function<std::string()> aAddress)
    : m_loop(aLoop)
    , m_authenticator(aAuthenticator)
    , m_metrics(aMetrics)
    , m_handler(aHandler)
    , m_stopping(std::move(aStopping))
    , m_address(std::move(aAddress))
  {
  }

  void exchange(peer::Envelope& aReply, const peer::Envelope& aRequest) override
  {
    try {
      m_authenticator.AuthenticateRequest(m_address(), aRequest);
      const auto request = DecodeMessage<peer::PeerRequest>(aRequest.payload);
      aReply = m_authenticator.SignReply(
        aRequest, EncodeMessage(HandleOnLoop(aRequest.sender, request)));
    } catch (const FrameRefused& refused) {
      Reject(refused.what());
    } catch (const TException&) {
      Reject("malformed_payload");
    }
  }

private:
  peer::PeerReply HandleOnLoop(const std::string& aSender,
                               const peer::PeerRequest& aRequest)
  {
    // Shared with the loop thread, because this thread may stop waiting first.
    auto promise = std::make_shared<std::promise<peer::PeerReply>>();
    std::future<peer::PeerReply> future = promise->get_future();
    m_loop.Post([this, promise, aSender, aRequest] {
      m_handler.Handle(aSender, aRequest, [promise](peer::PeerReply&& aReply) {
        promise->set_value(std::move(aReply));
      });
    });
    promise.reset();
    const auto deadline = std::chrono::steady_clock::now() + kReplyTimeout;
    while (future.wait_for(kStopPollInterval) != std::future_status::ready) {
      if (m_stopping->load() || std::chrono::steady_clock::now() > deadline) {
        throw TApplicationException("no answer");
      }
    }
    return future.get();
  }

  [[noreturn]] void Reject(const char* aReason)
  {
    m_metrics.CountDroppedFrame(aReason);
    peer::Refused refused;
    refused.reason = aReason;
    throw refused;
  }

  EventLoop& m_loop;
  EnvelopeAuthenticator& m_authenticator;
  Metrics& m_metrics;
  PeerRequestHandler& m_handler;
  std::shared_ptr<std::atomic<bool>> m_stopping;
  std::function<std::string()> m_address;
};

// Fulfils its promise when the server listens.
struct ListeningNotifier : server::TServerEventHandler
{
  void preServe() override { m_promise.set_value(); }
  std::promise<void> m_promise;
};

// Counts malformed frames, which do not reach the handler.
class CountingProcessor : public TProcessor
{
public:
  CountingProcessor(std::shared_ptr<TProcessor> aInner, Metrics& aMetrics)
    : m_inner(std::move(aInner))
    , m_metrics(aMetrics)
  {
  }

  bool process(std::shared_ptr<protocol::TProtocol> aIn,
               std::shared_ptr<protocol::TProtocol> aOut,
               void* aContext) override
  {
    using transport::TTransportException;
    try {
      return m_inner->process(aIn, aOut, aContext);
    } catch (const TTransportException& error) {
      // A closed connection and an idle timeout are not errors.
      if (error.getType() == TTransportException::CORRUPTED_DATA) {
        m_metrics.CountDroppedFrame("malformed_frame");
      }
      throw;
    } catch (const TException&) {
      m_metrics.CountDroppedFrame("malformed_frame");
      throw;
    }
  }

private:
  std::shared_ptr<TProcessor> m_inner;
  Metrics& m_metrics;
};

// Creates framed transports with the frame size limit of the peer protocol.
class PeerTransportFactory : public transport::TTransportFactory
{
public:
  std::shared_ptr<transport::TTransport> getTransport(
    std::shared_ptr<transport::TTransport> aTransport) override
  {
    return std::make_shared<transport::TFramedTransport>(
      std::move(aTransport), PeerThriftConfiguration());
  }
};

void
LogThriftMessage(const char* aText)
{
  Log(Severity::Debug, "thrift", { { "detail", aText } });
}

} // namespace

class PeerServer::Impl
{
public:
  Impl(const std::string& aAddress,
       EventLoop& aLoop,
       EnvelopeAuthenticator& aAuthenticator,
       Metrics& aMetrics,
       PeerRequestHandler& aHandler)
    : m_ip(aAddress.substr(0, aAddress.rfind(':')))
    , m_socket(std::make_shared<transport::TServerSocket>(
        m_ip,
        std::stoi(aAddress.substr(aAddress.rfind(':') + 1))))
  {
    GlobalOutput.setOutputFunction(LogThriftMessage);
    m_socket->setRecvTimeout(kIdleTimeoutMs);
    m_socket->setSendTimeout(kSendTimeoutMs);
    auto handler = std::make_shared<ThriftHandler>(
      aLoop, aAuthenticator, aMetrics, aHandler, m_stopping, [this] {
        return Address();
      });
    m_server = std::make_unique<server::TThreadedServer>(
      std::make_shared<CountingProcessor>(
        std::make_shared<peer::PeerProcessor>(std::move(handler)), aMetrics),
      m_socket,
      std::make_shared<PeerTransportFactory>(),
      std::make_shared<protocol::TCompactProtocolFactory>());
    m_server->setConcurrentClientLimit(kMaxConnections);
  }

  void Start()
  {
    auto listening = std::make_shared<ListeningNotifier>();
    std::future<void> future = listening->m_promise.get_future();
    m_server->setServerEventHandler(listening);
    m_thread = std::thread([this, listening] {
      try {
        m_server->serve();
      } catch (const TException&) {
        // serve() throws only while it starts to listen.
        listening->m_promise.set_exception(std::current_exception());
      }
    });
    try {
      future.get();
    } catch (...) {
      m_thread.join();
      throw;
    }
    m_port.store(m_socket->getPort());
  }

  void Stop()
  {
    m_stopping->store(true);
    if (m_thread.joinable()) {
      m_server->stop();
      m_thread.join();
    }
  }

  std::string Address() const
  {
    return m_ip + ":" + std::to_string(m_port.load());
  }

private:
  std::string m_ip;
  std::atomic<int> m_port{ 0 };
  std::shared_ptr<std::atomic<bool>> m_stopping =
    std::make_shared<std::atomic<bool>>(false);
  std::shared_ptr<transport::TServerSocket> m_socket;
  std::unique_ptr<server::TThreadedServer> m_server;
  std::thread m_thread;
};

PeerServer::PeerServer(const std::string& aAddress,
                       EventLoop& aLoop,
                       EnvelopeAuthenticator& aAuthenticator,
                       Metrics& aMetrics,
                       PeerRequestHandler& aHandler)
  : m_impl(std::make_unique<Impl>(aAddress,
                                  aLoop,
                                  aAuthenticator,
                                  aMetrics,
                                  aHandler))
{
}

PeerServer::~PeerServer()
{
  Stop();
}

void
PeerServer::Start()
{
  m_impl->Start();
}

void
PeerServer::Stop()
{
  m_impl->Stop();
}

std::string
PeerServer::Address() const
{
  return m_impl->Address();
}

} // namespace goldcrestkeel
