#include "Curl.h"

#include <stdexcept>

namespace goldcrestkeel::gkctl {

namespace {

constexpr long kConnectTimeoutMs = 2000;

std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

/** Returns whether the transfer ended before any byte of the request was
 *  sent. */
bool
NothingSent(CURL* aHandle, CURLcode aResult)
{
  if (aResult == CURLE_COULDNT_CONNECT ||
      aResult == CURLE_COULDNT_RESOLVE_HOST || aResult == CURLE_URL_MALFORMAT) {
    return true;
  }
  curl_off_t connected = 0;
  curl_easy_getinfo(aHandle, CURLINFO_CONNECT_TIME_T, &connected);
  return connected == 0;
}

class CurlTransport : public Transport
{
public:
  Response Send(const Request& aRequest) override
  {
    CurlTransfer transfer;
    transfer.Prepare(aRequest);
    return transfer.Finish(curl_easy_perform(transfer.Handle()));
  }
};

} // namespace

bool
InitializeCurl()
{
  static const bool kInitialized =
    curl_global_init(CURL_GLOBAL_ALL) == CURLE_OK;
  return kInitialized;
}

CurlTransfer::CurlTransfer()
  : m_handle(curl_easy_init())
{
  if (!m_handle) {
    throw std::runtime_error("libcurl: curl_easy_init failed");
  }
}

void
CurlTransfer::AddHeader(const std::string& aHeader)
{
  curl_slist* extended = curl_slist_append(m_headers.get(), aHeader.c_str());
  if (extended == nullptr) {
    throw std::runtime_error("libcurl: out of memory for a request header");
  }
  // The returned list includes the one that m_headers owns.
  static_cast<void>(m_headers.release());
  m_headers.reset(extended);
}

void
CurlTransfer::Prepare(const Request& aRequest)
{
  CURL* handle = m_handle.get();
  const std::string url = "http://" + aRequest.m_host + aRequest.m_path;
  m_requestBody = aRequest.m_body;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(
    handle,
    CURLOPT_TIMEOUT_MS,
    static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(aRequest.m_timeout)
        .count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &m_body);
  if (!aRequest.m_body.empty()) {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, m_requestBody.data());
    curl_easy_setopt(handle,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(m_requestBody.size()));
    AddHeader("Content-Type: application/json");
    AddHeader("Expect:");
  }
  if (!aRequest.m_reuseConnection) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
  for (const std::string& header : aRequest.m_headers) {
    AddHeader(header);
  }
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, m_headers.get());
}

Response
CurlTransfer::Finish(CURLcode aResult)
{
  Response response;
  if (aResult != CURLE_OK) {
    response.m_delivery =
      NothingSent(m_handle.get(), aResult) ? Delivery::NotSent : Delivery::Lost;
    response.m_detail = curl_easy_strerror(aResult);
    return response;
  }
  long status = 0;
  curl_easy_getinfo(m_handle.get(), CURLINFO_RESPONSE_CODE, &status);
  response.m_delivery = Delivery::Answered;
  response.m_status = static_cast<int>(status);
  response.m_body = std::move(m_body);
  return response;
}

std::unique_ptr<Transport>
MakeCurlTransport()
{
  if (!InitializeCurl()) {
    throw std::runtime_error("libcurl cannot be initialized");
  }
  return std::make_unique<CurlTransport>();
}

} // namespace goldcrestkeel::gkctl
