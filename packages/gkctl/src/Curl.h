#pragma once

#include "Transport.h"

#include <curl/curl.h>

#include <memory>
#include <string>

namespace goldcrestkeel::gkctl {

/** Initializes libcurl for the whole process; returns false if that fails. */
bool
InitializeCurl();

/** One transfer: easy handle, request headers and response body. Its address
 *  must not change while the transfer runs, because libcurl keeps pointers to
 *  the bodies. */
class CurlTransfer
{
public:
  /** Throws std::runtime_error if libcurl cannot create a handle. */
  CurlTransfer();
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  /** Sets the options of the handle for aRequest. Throws std::runtime_error if
   *  there is no memory for a header. */
  void Prepare(const Request& aRequest);
  /** Returns the response of a transfer that ended with aResult. */
  Response Finish(CURLcode aResult);
  CURL* Handle() const { return m_handle.get(); }

private:
  struct EasyDeleter
  {
    void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
  };
  struct ListDeleter
  {
    void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
  };

  void AddHeader(const std::string& aHeader);

  std::unique_ptr<CURL, EasyDeleter> m_handle;
  std::unique_ptr<curl_slist, ListDeleter> m_headers;
  std::string m_requestBody;
  std::string m_body;
};

} // namespace goldcrestkeel::gkctl
