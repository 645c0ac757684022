#pragma once

#include <goldcrestkeel/control/Store.h>
#include <goldcrestkeel/net/HttpClient.h>

#include <string>

namespace goldcrestkeel {

/** Store over the HTTP API of docs/design.md 4.4. Writes use a connection of
 *  their own, because a repeated compare-and-swap would report a conflict with
 *  itself. */
class StoreClient : public Store
{
public:
  /** aAddress is "IP:port". aTimeout limits each call beyond its m_wait.
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
