#include <goldcrestkeel/standins/HttpServer.h>

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <stdexcept>

namespace goldcrestkeel::standins {

namespace {

/** Limit of a request body: larger than the largest value of the key-value
 *  service (1 MB), so that the service itself rejects a longer value. */
constexpr std::size_t kMaxBodyBytes = std::size_t{ 4 } << 20;
/** Header, body and keep-alive timeout, after which Pistache sends 408. Its
 *  defaults are too short for blocking queries and simulated hangs. */
constexpr std::chrono::hours kConnectionTimeout{ 1 };
constexpr const char* kConnectionDataKey = "__standin";

/** Counts an open connection; owned by the Pistache peer object. */
class ConnectionCount
{
public:
  explicit ConnectionCount(std::shared_ptr<std::atomic<std::uint32_t>> aCount)
    : m_count(std::move(aCount))
  {
    ++*m_count;
  }
  ~ConnectionCount() { --*m_count; }
  ConnectionCount(const ConnectionCount&) = delete;
  ConnectionCount& operator=(const ConnectionCount&) = delete;

private:
  std::shared_ptr<std::atomic<std::uint32_t>> m_count;
};

/** Header with any name. Pistache does not send raw response headers. */
class NamedHeader : public Pistache::Http::Header::Header
{
public:
  NamedHeader(std::string aName, std::string aValue)
    : m_name(std::move(aName))
    , m_value(std::move(aValue))
  {
  }

  const char* name() const override { return m_name.c_str(); }
  std::uint64_t hash() const override
  {
    return Pistache::Http::Header::detail::hash(m_name.c_str());
  }
  void write(std::ostream& aStream) const override { aStream << m_value; }

private:
  std::string m_name;
  std::string m_value;
};

class PistacheResponder : public Responder
{
public:
  explicit PistacheResponder(Pistache::Http::ResponseWriter aWriter)
    : m_writer(std::move(aWriter))
  {
  }

  void Send(int aStatus,
            const std::string& aBody,
            const Headers& aHeaders) override
  {
    const auto peer = m_writer.getPeer();
    if (!peer) {
      return;
    }
    for (const auto& [name, value] : aHeaders) {
      m_writer.headers().add(std::make_shared<NamedHeader>(name, value));
    }
    // Pistache sends "Connection: Close" unless the request asks for
    // "Keep-Alive", which is the default in HTTP/1.1 and need not be sent.
    m_writer.headers().remove<Pistache::Http::Header::Connection>();
    m_writer.headers().add<Pistache::Http::Header::Connection>(
      Pistache::Http::ConnectionControl::KeepAlive);
    m_writer.send(static_cast<Pistache::Http::Code>(aStatus),
                  aBody,
                  MIME(Application, Json));
  }

  void SendRaw(const std::string& aBytes, bool aCloseAfter) override
  {
    const auto peer = m_writer.getPeer();
    if (!peer) {
      return;
    }
    auto sent =
      peer->send(Pistache::RawBuffer(aBytes, aBytes.size()), MSG_NOSIGNAL);
    if (aCloseAfter) {
      const std::weak_ptr<Pistache::Tcp::Peer> weak = peer;
      const auto close = [weak] {
        if (const auto open = weak.lock()) {
          ::shutdown(open->fd(), SHUT_RDWR);
        }
      };
      sent.then([close](ssize_t) { close(); },
                [close](const std::exception_ptr&) { close(); });
    }
  }

  void Close() override
  {
    if (const auto peer = m_writer.getPeer()) {
      ::shutdown(peer->fd(), SHUT_RDWR);
    }
  }

private:
  Pistache::Http::ResponseWriter m_writer;
};

class PistacheHandler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(PistacheHandler)

  PistacheHandler(HttpServer::Handler aHandler,
                  std::shared_ptr<std::atomic<std::uint32_t>> aConnections)
    : m_handler(std::move(aHandler))
    , m_connections(std::move(aConnections))
  {
  }

  void onRequest(const Pistache::Http::Request& aRequest,
                 Pistache::Http::ResponseWriter aWriter) override
  {
    const auto peer = aWriter.getPeer();
    if (!peer) {
      return;
    }
    HttpRequest request;
    request.m_method = Pistache::Http::methodString(aRequest.method());
    request.m_path = aRequest.resource();
    for (auto it = aRequest.query().parameters_begin();
         it != aRequest.query().parameters_end();
         ++it) {
      request.m_queryParameters.insert(*it);
    }
    request.m_body = aRequest.body();
    request.m_peerAddress = peer->address().host();
    if (!peer->tryGetData(kConnectionDataKey)) {
      peer->putData(kConnectionDataKey,
                    std::make_shared<ConnectionCount>(m_connections));
      request.m_newConnection = true;
    }
    request.m_responder =
      std::make_shared<PistacheResponder>(std::move(aWriter));
    m_handler(std::move(request));
  }

private:
  HttpServer::Handler m_handler;
  std::shared_ptr<std::atomic<std::uint32_t>> m_connections;
};

class PistacheServer : public HttpServer
{
public:
  PistacheServer(ListenAddress aAddress, int aThreads, Handler aHandler)
    : m_address(std::move(aAddress))
    , m_threads(aThreads)
    , m_handler(std::move(aHandler))
  {
  }

  ~PistacheServer() override { Stop(); }

  void Start() override
  {
    if (m_endpoint) {
      return;
    }
    auto endpoint = std::make_unique<Pistache::Http::Endpoint>(
      Pistache::Address(m_address.m_ip, Pistache::Port(m_address.m_port)));
    endpoint->init(Pistache::Http::Endpoint::options()
                     .threads(m_threads)
                     .flags(Pistache::Tcp::Options::ReuseAddr |
                            Pistache::Tcp::Options::NoDelay)
                     .maxRequestSize(kMaxBodyBytes)
                     .maxResponseSize(2 * kMaxBodyBytes)
                     .headerTimeout(kConnectionTimeout)
                     .bodyTimeout(kConnectionTimeout)
                     .keepaliveTimeout(kConnectionTimeout));
    endpoint->setHandler(
      Pistache::Http::make_handler<PistacheHandler>(m_handler, m_connections));
    endpoint->serveThreaded();
    m_endpoint = std::move(endpoint);
  }

  void Stop() override
  {
    if (m_endpoint) {
      m_endpoint->shutdown();
      m_endpoint.reset();
    }
  }

  std::uint32_t Connections() const override { return *m_connections; }

private:
  ListenAddress m_address;
  int m_threads;
  Handler m_handler;
  std::shared_ptr<std::atomic<std::uint32_t>> m_connections =
    std::make_shared<std::atomic<std::uint32_t>>(0);
  std::unique_ptr<Pistache::Http::Endpoint> m_endpoint;
};

} // namespace

ListenAddress
ParseListenAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    throw std::invalid_argument("address does not have the form IP:port: " +
                                aText);
  }
  const int port = std::stoi(aText.substr(colon + 1));
  if (port < 1 || port > 65535) {
    throw std::invalid_argument("port is outside 1..65535: " + aText);
  }
  return { aText.substr(0, colon), static_cast<std::uint16_t>(port) };
}

std::unique_ptr<HttpServer>
MakeHttpServer(const ListenAddress& aAddress,
               int aThreads,
               HttpServer::Handler aHandler)
{
  return std::make_unique<PistacheServer>(
    aAddress, aThreads, std::move(aHandler));
}

std::string
FormatReply(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " " +
         Pistache::Http::codeString(
           static_cast<Pistache::Http::Code>(aStatus)) +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace goldcrestkeel::standins
