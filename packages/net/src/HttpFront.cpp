#include "CallerConnection.h"

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/net/HttpFront.h>

#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <atomic>
#include <stdexcept>

namespace goldcrestkeel {

namespace {

namespace Http = Pistache::Http;
namespace Tcp = Pistache::Tcp;

// Room for the request line and the headers beside the body.
constexpr std::size_t kMaxHeaderBytes = 16384;
// A body may exceed the limit by this factor and still be read, so that the
// refusal can name the fault and the connection stays usable.
constexpr std::size_t kOversizeFactor = 4;
// Longer than the longest deadline of a request: Pistache closes a connection
// whose request is older, even if its answer is still being worked on.
constexpr std::chrono::seconds kConnectionTimeout{ 300 };
constexpr const char* kConnectionData = "goldcrestkeel";

std::string
HexText(std::uint64_t aValue)
{
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr int kNibbles = 16;
  std::string text(kNibbles, '0');
  for (int i = kNibbles - 1; i >= 0; --i) {
    text[static_cast<std::size_t>(i)] = kDigits[aValue & 0xf];
    aValue >>= 4;
  }
  return text;
}

// Request ids of one process: host id, a random number of this start, and a
// counter.
class RequestIds
{
public:
  explicit RequestIds(const std::string& aHostId)
    : m_prefix(aHostId + "-" + HexText(MakeSystemRandom()->Next()) + "-")
  {
  }

  std::string Next() { return m_prefix + std::to_string(++m_count); }

private:
  std::string m_prefix;
  std::atomic<std::uint64_t> m_count{ 0 };
};

struct Shared
{
  explicit Shared(const std::string& aHostId, RequestHandler& aHandler)
    : m_ids(aHostId)
    , m_handler(aHandler)
  {
  }

  RequestIds m_ids;
  RequestHandler& m_handler;
  std::shared_ptr<FrontState> m_state = std::make_shared<FrontState>();
};

std::optional<std::string>
HeaderOf(const Http::Request& aRequest, const std::string& aName)
{
  const auto raw = aRequest.headers().tryGetRaw(aName);
  if (!raw) {
    return std::nullopt;
  }
  return raw->value();
}

CallerRequest
Convert(const Http::Request& aRequest, std::string aRequestId)
{
  CallerRequest request;
  request.m_method = Http::methodString(aRequest.method());
  request.m_path = aRequest.resource();
  request.m_body = aRequest.body();
  request.m_idempotencyKey = HeaderOf(aRequest, "Idempotency-Key");
  request.m_operator = HeaderOf(aRequest, "X-Operator");
  const auto connection = aRequest.headers().tryGet<Http::Header::Connection>();
  request.m_close =
    connection && connection->control() == Http::ConnectionControl::Close;
  request.m_from = aRequest.address().host();
  request.m_requestId = std::move(aRequestId);
  return request;
}

// Pistache clones the handler for each of its threads.
class FrontHandler : public Http::Handler
{
public:
  HTTP_PROTOTYPE(FrontHandler)

  explicit FrontHandler(std::shared_ptr<Shared> aShared)
    : m_shared(std::move(aShared))
  {
  }

  void onRequest(const Http::Request& aRequest,
                 Http::ResponseWriter aWriter) override
  {
    const std::shared_ptr<Tcp::Peer> peer = aWriter.getPeer();
    if (!peer) {
      return;
    }
    std::shared_ptr<Exchange> exchange = ConnectionOf(*peer)->Add(
      Convert(aRequest, m_shared->m_ids.Next()), std::move(aWriter));
    m_shared->m_handler.Handle(std::move(exchange));
  }

  void onDisconnection(const std::shared_ptr<Tcp::Peer>& aPeer) override
  {
    const auto data = aPeer->tryGetData(kConnectionData);
    if (!data) {
      return;
    }
    std::static_pointer_cast<CallerConnection>(data)->Close();
    // Pistache queues answers by descriptor number. Writing them out while the
    // descriptor is still this connection's keeps them from reaching the next
    // connection that gets the same number.
    transport()->flush();
  }

private:
  std::shared_ptr<CallerConnection> ConnectionOf(Tcp::Peer& aPeer)
  {
    if (const auto data = aPeer.tryGetData(kConnectionData)) {
      return std::static_pointer_cast<CallerConnection>(data);
    }
    auto connection = std::make_shared<CallerConnection>(m_shared->m_state);
    aPeer.putData(kConnectionData, connection);
    return connection;
  }

  std::shared_ptr<Shared> m_shared;
};

Pistache::Address
AddressOf(const std::string& aText)
{
  return Pistache::Address(aText);
}

} // namespace

class HttpFront::Impl
{
public:
  Impl(HttpFrontOptions aOptions, RequestHandler& aHandler)
    : m_options(std::move(aOptions))
    , m_shared(std::make_shared<Shared>(m_options.m_hostId, aHandler))
    , m_endpoint(AddressOf(m_options.m_address))
  {
  }

  void Start()
  {
    const std::size_t limit =
      m_options.m_maxBodyBytes * kOversizeFactor + kMaxHeaderBytes;
    auto options = Http::Endpoint::options()
                     .threads(static_cast<int>(m_options.m_threads))
                     .threadsName("http")
                     .flags(Tcp::Options::ReuseAddr | Tcp::Options::NoDelay)
                     .maxRequestSize(limit)
                     .headerTimeout(kConnectionTimeout)
                     .bodyTimeout(kConnectionTimeout)
                     .keepaliveTimeout(kConnectionTimeout);
    m_endpoint.init(options);
    m_endpoint.setHandler(std::make_shared<FrontHandler>(m_shared));
    m_endpoint.serveThreaded();
    m_started = true;
  }

  void Stop()
  {
    if (m_started) {
      m_endpoint.shutdown();
      m_started = false;
    }
  }

  std::uint16_t Port() const { return m_endpoint.getPort(); }
  FrontState& State() { return *m_shared->m_state; }

private:
  HttpFrontOptions m_options;
  std::shared_ptr<Shared> m_shared;
  Http::Endpoint m_endpoint;
  bool m_started = false;
};

HttpFront::HttpFront(HttpFrontOptions aOptions, RequestHandler& aHandler)
  : m_impl(std::make_unique<Impl>(std::move(aOptions), aHandler))
{
}

HttpFront::~HttpFront()
{
  Stop();
}

void
HttpFront::Start()
{
  m_impl->Start();
}

void
HttpFront::Stop()
{
  m_impl->Stop();
}

std::uint16_t
HttpFront::Port() const
{
  return m_impl->Port();
}

std::size_t
HttpFront::Open() const
{
  return m_impl->State().m_open.load();
}

void
HttpFront::CloseConnections()
{
  m_impl->State().m_closing.store(true);
}

} // namespace goldcrestkeel
