#pragma once

#include "Answer.h"
#include "Transport.h"

#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Whether another entry host may give a better answer to the same request. */
bool
ShouldTryNextHost(const Answer& aAnswer);

/** Sends a request through one entry host after the other until one gives a
 *  final answer. A request that must run at most once carries its key or
 *  operation id, which stays the same for all hosts. */
class FailoverClient
{
public:
  /** aTransport must outlive the caller. */
  FailoverClient(Transport& aTransport, std::vector<std::string> aHosts);

  /** aRequest.m_host is set by the caller. If a host may have run the request
   *  and a later one refuses it, the outcome stays unknown. */
  Answer Call(Request aRequest);

private:
  Transport& m_transport;
  std::vector<std::string> m_hosts;
};

} // namespace goldcrestkeel::gkctl
