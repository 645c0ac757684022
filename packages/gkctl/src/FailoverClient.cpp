#include "FailoverClient.h"

#include <algorithm>
#include <array>

namespace goldcrestkeel::gkctl {

bool
ShouldTryNextHost(const Answer& aAnswer)
{
  if (aAnswer.m_status == 0) {
    return true;
  }
  constexpr std::array kRetryableKinds{
    ErrorKind::NotReady,        ErrorKind::ShuttingDown,
    ErrorKind::Overloaded,      ErrorKind::NoReplica,
    ErrorKind::CommandRefused,  ErrorKind::OutcomeUnknown,
    ErrorKind::StoreUnavailable
  };
  const auto kind = ErrorKindFromName(aAnswer.ErrorName());
  return kind &&
         std::find(kRetryableKinds.begin(), kRetryableKinds.end(), *kind) !=
           kRetryableKinds.end();
}

FailoverClient::FailoverClient(Transport& aTransport,
                               std::vector<std::string> aHosts)
  : m_transport(aTransport)
  , m_hosts(std::move(aHosts))
{
}

Answer
FailoverClient::Call(Request aRequest)
{
  Answer answer;
  bool mayHaveRun = false;
  std::size_t attempts = 0;
  for (const std::string& host : m_hosts) {
    aRequest.m_host = host;
    answer = ReadAnswer(host, m_transport.Send(aRequest));
    answer.m_attempts = ++attempts;
    if (answer.Succeeded() || !ShouldTryNextHost(answer)) {
      break;
    }
    mayHaveRun = mayHaveRun || answer.m_ran == Ran::Unknown;
  }
  if (mayHaveRun && answer.m_ran == Ran::No) {
    answer.m_ran = Ran::Unknown;
  }
  return answer;
}

} // namespace goldcrestkeel::gkctl
