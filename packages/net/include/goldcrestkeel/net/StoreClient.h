#pragma once

#include <goldcrestkeel/control/Store.h>
#include <goldcrestkeel/net/HttpClient.h>

#include <string>

namespace goldcrestkeel {

/** Store client over the HTTP API of docs/design.md 4.4. Writes that are not
 *  idempotent use a new connection: on a reused one the HTTP client may send
 *  the request again, and a repeated compare-and-swap would conflict with
 *  itself. */
class StoreClient : public Store
{
public:
  /** aAddress is "IP:port". The timeout of a call is aTimeout plus its m_wait.
   *  aClient must outlive this object. */
  StoreClient(HttpClient& aClient, std::string aAddress, Duration aTimeout);

  void Call(const StoreCall& aCall,
            std::function<void(const StoreResult&)> aDone) override;

private:
  HttpClient& m_client;
  std::string m_address;
  Duration m_timeout;
};

} // namespace goldcrestkeel
