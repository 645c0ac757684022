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

// Size limit of the request line and the headers, in addition to the body.
constexpr std::size_t kMaxHeaderBytes = 16384;
// Bodies up to this multiple of the limit are still read, so that the error
// response can give the reason and the connection stays usable.
constexpr std::size_t kOversizeFactor = 4;
// Must exceed the longest deadline of a request, because Pistache closes a
// connection whose request is older, even while its response is still pending.
constexpr std::chrono::seconds kConnectionTimeout{ 300 };
constexpr const char* kConnectionDataKey = "goldcrestkeel";

std::string
ToHex(std::uint64_t aValue)
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

// Generates request ids of the form "<host id>-<random number of this process
// start>-<counter>".
class RequestIdGenerator
{
public:
  explicit RequestIdGenerator(const std::string& aHostId)
    : m_prefix(aHostId + "-" + ToHex(MakeSystemRandom()->Next()) + "-")
  {
  }

  std::string Next() { return m_prefix + std::to_string(++m_count); }

private:
  std::string m_prefix;
  std::atomic<std::uint64_t> m_count{ 0 };
};

// State that the handlers of all Pistache threads share.
struct FrontContext
{
  explicit FrontContext(const std::string& aHostId, RequestHandler& aHandler)
    : m_requestIds(aHostId)
    , m_handler(aHandler)
  {
  }

  RequestIdGenerator m_requestIds;
  RequestHandler& m_handler;
  std::shared_ptr<FrontState> m_state = std::make_shared<FrontState>();
};

std::optional<std::string>
FindHeader(const Http::Request& aRequest, const std::string& aName)
{
  const auto raw = aRequest.headers().tryGetRaw(aName);
  if (!raw) {
    return std::nullopt;
  }
  return raw->value();
}

CallerRequest
ToCallerRequest(const Http::Request& aRequest, std::string aRequestId)
{
  CallerRequest request;
  request.m_method = Http::methodString(aRequest.method());
  request.m_path = aRequest.resource();
  request.m_body = aRequest.body();
  request.m_idempotencyKey = FindHeader(aRequest, "Idempotency-Key");
  request.m_operator = FindHeader(aRequest, "X-Operator");
  const auto connection = aRequest.headers().tryGet<Http::Header::Connection>();
  request.m_close =
    connection && connection->control() == Http::ConnectionControl::Close;
  request.m_callerAddress = aRequest.address().host();
  request.m_requestId = std::move(aRequestId);
  return request;
}

// Pistache clones the handler for each of its threads.
class FrontHandler : public Http::Handler
{
public:
  HTTP_PROTOTYPE(FrontHandler)

  explicit FrontHandler(std::shared_ptr<FrontContext> aContext)
    : m_context(std::move(aContext))
  {
  }

  void onRequest(const Http::Request& aRequest,
                 Http::ResponseWriter aWriter) override
  {
    const std::shared_ptr<Tcp::Peer> peer = aWriter.getPeer();
    if (!peer) {
      return;
    }
    std::shared_ptr<Exchange> exchange = GetOrCreateConnection(*peer)->Add(
      ToCallerRequest(aRequest, m_context->m_requestIds.Next()),
      std::move(aWriter));
    m_context->m_handler.Handle(std::move(exchange));
  }

  void onDisconnection(const std::shared_ptr<Tcp::Peer>& aPeer) override
  {
    const auto data = aPeer->tryGetData(kConnectionDataKey);
    if (!data) {
      return;
    }
    std::static_pointer_cast<CallerConnection>(data)->Close();
    // Pistache queues responses by file descriptor. Flushing them while this
    // connection still owns the descriptor keeps them from being sent to a
    // later connection that reuses it.
    transport()->flush();
  }

private:
  std::shared_ptr<CallerConnection> GetOrCreateConnection(Tcp::Peer& aPeer)
  {
    if (const auto data = aPeer.tryGetData(kConnectionDataKey)) {
      return std::static_pointer_cast<CallerConnection>(data);
    }
    auto connection = std::make_shared<CallerConnection>(m_context->m_state);
    aPeer.putData(kConnectionDataKey, connection);
    return connection;
  }

  std::shared_ptr<FrontContext> m_context;
};

Pistache::Address
ParseAddress(const std::string& aText)
{
  return Pistache::Address(aText);
}

} // namespace

class HttpFront::Impl
{
public:
  Impl(HttpFrontOptions aOptions, RequestHandler& aHandler)
    : m_options(std::move(aOptions))
    , m_context(std::make_shared<FrontContext>(m_options.m_hostId, aHandler))
    , m_endpoint(ParseAddress(m_options.m_address))
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
    m_endpoint.setHandler(std::make_shared<FrontHandler>(m_context));
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
  FrontState& State() { return *m_context->m_state; }

private:
  HttpFrontOptions m_options;
  std::shared_ptr<FrontContext> m_context;
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
  return m_impl->State().m_openRequests.load();
}

void
HttpFront::CloseConnections()
{
  m_impl->State().m_closeConnections.store(true);
}

} // namespace goldcrestkeel
