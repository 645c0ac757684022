#pragma once

#include "Answer.h"
#include "Transport.h"

#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Returns whether to send the same request to another entry host: there is no
 *  usable answer, or an error that another host may not return. */
bool
ShouldTryNextHost(const Answer& aAnswer);

/** Sends a request to one entry host after the other until one gives a final
 *  answer. A request that must run at most once carries an idempotency key or
 *  operation id, which is the same for all hosts. */
class FailoverClient
{
public:
  /** aTransport must outlive the client. */
  FailoverClient(Transport& aTransport, std::vector<std::string> aHosts);

  /** Sends aRequest; sets its m_host for each attempt. If a host may have run
   *  the request and a later one refuses it, m_ran of the answer is Unknown. */
  Answer Call(Request aRequest);

private:
  Transport& m_transport;
  std::vector<std::string> m_hosts;
};

} // namespace goldcrestkeel::gkctl
