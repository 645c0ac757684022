#include <goldcrestkeel/net/HttpClient.h>

#include <curl/curl.h>

#include <charconv>
#include <mutex>
#include <stdexcept>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

namespace {

// Larger replies are rejected. A value in the store has at most 1 MB, and a
// list reply holds several values.
constexpr std::size_t kMaxReplyBytes = 16 * 1024 * 1024;
// Size of libcurl's connection cache, for all servers together.
constexpr long kMaxIdleConnections = 8192;
// Easy handles kept for reuse by later transfers.
constexpr std::size_t kMaxPooledHandles = 1024;
constexpr std::string_view kIndexHeader = "x-consul-index:";

struct EasyDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};
struct MultiDeleter
{
  void operator()(CURLM* aHandle) const { curl_multi_cleanup(aHandle); }
};
struct ListDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;
using MultiHandle = std::unique_ptr<CURLM, MultiDeleter>;
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

void
InitialiseLibrary()
{
  static std::once_flag sOnce;
  std::call_once(sOnce, [] {
    if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
      throw std::runtime_error("libcurl cannot be initialised");
    }
  });
}

// An empty "Expect:" header keeps libcurl from waiting for "100 Continue".
HeaderList
JsonHeaders()
{
  HeaderList list(curl_slist_append(nullptr, "Content-Type: application/json"));
  curl_slist_append(list.get(), "Expect:");
  return list;
}

struct Transfer
{
  TransferId m_id = 0;
  EasyHandle m_handle;
  HttpRequest m_request;
  HttpClient::Done m_done;
  HttpReply m_reply;
  bool m_replyTooLarge = false;
  /** Set when libcurl starts to send the request; only with m_disableRetry. */
  bool m_sendStarted = false;
};

// libcurl calls this each time before it sends the request, so the second call
// is a retry, which is aborted. libcurl prescribes the signature; the unnamed
// parameters are IP addresses and ports.
int
OnBeforeSend(void* aTransfer, char*, char*, int, int)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const bool resent = transfer.m_sendStarted;
  transfer.m_sendStarted = true;
  return resent ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const std::size_t bytes = aSize * aCount;
  if (transfer.m_reply.m_body.size() + bytes > kMaxReplyBytes) {
    transfer.m_replyTooLarge = true;
    return 0;
  }
  transfer.m_reply.m_body.append(aData, bytes);
  return bytes;
}

bool
StartsWithIgnoringCase(std::string_view aText, std::string_view aLowerPrefix)
{
  if (aText.size() < aLowerPrefix.size()) {
    return false;
  }
  for (std::size_t i = 0; i < aLowerPrefix.size(); ++i) {
    const char c = aText[i];
    const char lower = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
    if (lower != aLowerPrefix[i]) {
      return false;
    }
  }
  return true;
}

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  std::string_view line(aData, aSize * aCount);
  if (StartsWithIgnoringCase(line, kIndexHeader)) {
    line.remove_prefix(kIndexHeader.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    std::from_chars(
      line.data(), line.data() + line.size(), transfer.m_reply.m_index);
  }
  return aSize * aCount;
}

long
BytesSent(CURL* aHandle)
{
  long bytes = 0;
  curl_easy_getinfo(aHandle, CURLINFO_REQUEST_SIZE, &bytes);
  return bytes;
}

HttpOutcome
OutcomeOf(CURLcode aCode, const Transfer& aTransfer)
{
  if (aCode == CURLE_OK) {
    return HttpOutcome::Replied;
  }
  if (aTransfer.m_replyTooLarge) {
    return HttpOutcome::InvalidReply;
  }
  if (BytesSent(aTransfer.m_handle.get()) == 0) {
    return HttpOutcome::NotSent;
  }
  switch (aCode) {
    case CURLE_OPERATION_TIMEDOUT:
      return HttpOutcome::TimedOut;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
      return HttpOutcome::InvalidReply;
    default:
      return HttpOutcome::ConnectionLost;
  }
}

} // namespace

class HttpClient::Impl
{
public:
  Impl()
    : m_multi((InitialiseLibrary(), curl_multi_init()))
    , m_headers(JsonHeaders())
  {
    if (!m_multi) {
      throw std::runtime_error("curl_multi_init failed");
    }
    curl_multi_setopt(m_multi.get(), CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  ~Impl()
  {
    for (auto& [id, transfer] : m_transfers) {
      curl_multi_remove_handle(m_multi.get(), transfer->m_handle.get());
    }
  }

  TransferId Start(HttpRequest aRequest, Done aDone)
  {
    auto transfer = std::make_unique<Transfer>();
    transfer->m_id = m_nextId++;
    transfer->m_handle = AcquireHandle();
    transfer->m_request = std::move(aRequest);
    transfer->m_done = std::move(aDone);
    SetOptions(*transfer);
    curl_multi_add_handle(m_multi.get(), transfer->m_handle.get());
    const TransferId id = transfer->m_id;
    m_transfers.emplace(id, std::move(transfer));
    return id;
  }

  void Abort(TransferId aTransfer)
  {
    const auto found = m_transfers.find(aTransfer);
    if (found != m_transfers.end()) {
      curl_multi_remove_handle(m_multi.get(), found->second->m_handle.get());
      RecycleHandle(std::move(found->second->m_handle));
      m_transfers.erase(found);
    }
  }

  void Perform()
  {
    int running = 0;
    curl_multi_perform(m_multi.get(), &running);
    int queued = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi.get(), &queued)) {
      if (message->msg == CURLMSG_DONE) {
        Complete(message->easy_handle, message->data.result);
      }
    }
  }

  void Wait(Duration aTimeout)
  {
    // Rounded up, because rounding down would busy-wait for the last
    // millisecond.
    const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(aTimeout).count();
    curl_multi_poll(
      m_multi.get(), nullptr, 0, static_cast<int>(milliseconds), nullptr);
  }

  void Wake() { curl_multi_wakeup(m_multi.get()); }

  std::size_t Running() const { return m_transfers.size(); }

private:
  EasyHandle AcquireHandle()
  {
    if (m_pooledHandles.empty()) {
      EasyHandle handle(curl_easy_init());
      if (!handle) {
        throw std::runtime_error("curl_easy_init failed");
      }
      return handle;
    }
    EasyHandle handle = std::move(m_pooledHandles.back());
    m_pooledHandles.pop_back();
    return handle;
  }

  void RecycleHandle(EasyHandle aHandle)
  {
    if (m_pooledHandles.size() < kMaxPooledHandles) {
      curl_easy_reset(aHandle.get());
      m_pooledHandles.push_back(std::move(aHandle));
    }
  }

  void SetOptions(Transfer& aTransfer)
  {
    CURL* handle = aTransfer.m_handle.get();
    const HttpRequest& request = aTransfer.m_request;
    curl_easy_setopt(handle, CURLOPT_URL, request.m_url.c_str());
    // Only plain HTTP directly to the given address: ignores proxy settings of
    // the environment, redirects and other protocols.
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, m_headers.get());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &aTransfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &aTransfer);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &aTransfer);
    const long milliseconds = std::max<long>(
      1,
      std::chrono::ceil<std::chrono::milliseconds>(request.m_timeout).count());
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, milliseconds);
    SetMethod(handle, request);
    if (request.m_disableRetry) {
      curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, OnBeforeSend);
      curl_easy_setopt(handle, CURLOPT_PREREQDATA, &aTransfer);
    }
    if (request.m_freshConnection) {
      curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
  }

  static void SetMethod(CURL* aHandle, const HttpRequest& aRequest)
  {
    if (aRequest.m_method == HttpMethod::Get) {
      curl_easy_setopt(aHandle, CURLOPT_HTTPGET, 1L);
      return;
    }
    curl_easy_setopt(aHandle, CURLOPT_POST, 1L);
    curl_easy_setopt(aHandle,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aRequest.m_body.size()));
    curl_easy_setopt(aHandle, CURLOPT_POSTFIELDS, aRequest.m_body.c_str());
    if (aRequest.m_method == HttpMethod::Put) {
      curl_easy_setopt(aHandle, CURLOPT_CUSTOMREQUEST, "PUT");
    }
  }

  void Complete(CURL* aHandle, CURLcode aCode)
  {
    Transfer* raw = nullptr;
    curl_easy_getinfo(aHandle, CURLINFO_PRIVATE, &raw);
    auto node = m_transfers.extract(raw->m_id);
    std::unique_ptr<Transfer> transfer = std::move(node.mapped());
    transfer->m_reply.m_outcome = OutcomeOf(aCode, *transfer);
    long status = 0;
    curl_easy_getinfo(aHandle, CURLINFO_RESPONSE_CODE, &status);
    transfer->m_reply.m_status = static_cast<int>(status);
    if (aCode != CURLE_OK) {
      transfer->m_reply.m_detail = curl_easy_strerror(aCode);
    }
    curl_multi_remove_handle(m_multi.get(), aHandle);
    RecycleHandle(std::move(transfer->m_handle));
    transfer->m_done(std::move(transfer->m_reply));
  }

  MultiHandle m_multi;
  HeaderList m_headers;
  std::vector<EasyHandle> m_pooledHandles;
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> m_transfers;
  TransferId m_nextId = 1;
};

HttpClient::HttpClient()
  : m_impl(std::make_unique<Impl>())
{
}

HttpClient::~HttpClient() = default;

TransferId
HttpClient::Start(HttpRequest aRequest, Done aDone)
{
  return m_impl->Start(std::move(aRequest), std::move(aDone));
}

void
HttpClient::Abort(TransferId aTransfer)
{
  m_impl->Abort(aTransfer);
}

void
HttpClient::Perform()
{
  m_impl->Perform();
}

void
HttpClient::Wait(Duration aTimeout)
{
  m_impl->Wait(aTimeout);
}

void
HttpClient::Wake()
{
  m_impl->Wake();
}

std::size_t
HttpClient::Running() const
{
  return m_impl->Running();
}

} // namespace goldcrestkeel
