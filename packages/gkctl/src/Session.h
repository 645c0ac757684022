#pragma once

#include "Answer.h"
#include "FailoverClient.h"
#include "OptionTable.h"

#include <goldcrestkeel/Language.h>
#include <goldcrestkeel/control/Configuration.h>
#include <goldcrestkeel/core/Random.h>

#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Options that all sub-commands share. */
struct CommonOptions
{
  /** Entry hosts in the order in which they are tried. */
  std::vector<std::string> m_hosts;
  bool m_json = false;
  bool m_help = false;
  /** Operator name for the audit trail. */
  std::string m_operator;
  /** Timeout of a request to one host; 0 for the default of the request. */
  Duration m_timeout{ 0 };

  /** Adds the options to aTable, which must not outlive this object. */
  void Declare(OptionTable& aTable);
  /** Sets the host and the operator, if the command line lacks them, from the
   *  environment variables GKCTL_HOST and USER or to a default. */
  void ApplyDefaults();
};

/** Streams, transport and random source that a sub-command uses. */
struct Environment
{
  std::ostream& m_out;
  std::ostream& m_err;
  std::istream& m_in;
  Transport& m_transport;
  RandomSource& m_random;
};

/** Sends the requests of one run of gkctl with its common options. */
class Session
{
public:
  /** Both arguments must outlive the session. */
  Session(const Environment& aEnvironment, const CommonOptions& aOptions);

  /** Sends a statement with a new operation id to the entry hosts. A command
   *  without an idempotency key gets a new one, which is the same for all
   *  hosts. */
  Answer Execute(const Statement& aStatement);
  Answer Search(const SearchStatement& aSearch);
  /** Sends a GET request to one host. */
  Answer Get(const std::string& aHost, const std::string& aPath);
  /** Sends a statement to one host only, with the timeout of a probe. */
  Answer ExecuteOn(const std::string& aHost, const Statement& aStatement);

  /** Returns the services in force. Throws RequestFailure if no host returns
   *  them. */
  std::map<std::string, ServiceSpec> CurrentServices();

  /** Prints an answer, as JSON if --json is set, and returns its exit code. */
  ExitCode Print(const Answer& aAnswer);

  const CommonOptions& Options() const { return m_options; }
  const Environment& GetEnvironment() const { return m_environment; }

private:
  Answer Send(std::vector<std::string> aHosts,
              Request aRequest,
              Duration aDefaultTimeout);

  const Environment& m_environment;
  const CommonOptions& m_options;
};

/** Returns the path of an operation of a service. Throws UsageError if aService
 *  is not a valid service name. */
std::string
ServicePath(const std::string& aService, const std::string& aOperation);

/** Returns the JSON body of a search request. */
nlohmann::json
SearchBody(const SearchStatement& aSearch);

/** Thrown if a request fails and the sub-command cannot continue. */
class RequestFailure : public std::runtime_error
{
public:
  explicit RequestFailure(Answer aAnswer);
  const Answer& FinalAnswer() const { return m_answer; }

private:
  Answer m_answer;
};

/** Returns the services in the answer to SHOW CONFIGURATION. Throws Error
 *  (InvalidConfiguration) if it has no list of services. */
std::map<std::string, ServiceSpec>
ExtractServices(const nlohmann::json& aBody);

/** Returns the content of a file, or of aInput if aPath is "-". Throws
 *  UsageError if the file cannot be read. */
std::string
ReadFileOrInput(const std::string& aPath, std::istream& aInput);

} // namespace goldcrestkeel::gkctl
