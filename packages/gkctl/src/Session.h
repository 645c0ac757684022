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
  /** Operator that the audit trail names. */
  std::string m_operator;
  Duration m_timeout{ 0 };

  /** Adds the options to aTable, which must not outlive this object. */
  void Declare(OptionTable& aTable);
  /** Fills what the command line leaves open. */
  void ApplyDefaults();
};

/** What a sub-command works with. */
struct Environment
{
  std::ostream& m_out;
  std::ostream& m_err;
  std::istream& m_in;
  Transport& m_transport;
  RandomSource& m_random;
};

/** Requests of one run of gkctl, sent with its common options. */
class Session
{
public:
  /** Both must outlive the session. */
  Session(const Environment& aEnvironment, const CommonOptions& aOptions);

  /** Sends a statement with a new operation id. A command without a key gets
   *  one; the same key goes to all hosts. */
  Answer Execute(const Statement& aStatement);
  Answer Search(const SearchStatement& aSearch);
  /** GET from one host. */
  Answer Get(const std::string& aHost, const std::string& aPath);
  Answer ExecuteOn(const std::string& aHost, const Statement& aStatement);

  /** Services in force. Throws Failure. */
  std::map<std::string, ServiceSpec> CurrentServices();

  /** Prints an answer, as JSON if that is wanted; returns its exit code. */
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

/** Path of an operation of a service. Throws UsageError if aService cannot be
 *  the name of a service. */
std::string
ServicePath(const std::string& aService, const std::string& aOperation);

/** Body of a search request. */
nlohmann::json
SearchBody(const SearchStatement& aSearch);

/** Answer that ends the sub-command. */
class RequestFailure : public std::runtime_error
{
public:
  explicit RequestFailure(Answer aAnswer);
  const Answer& FinalAnswer() const { return m_answer; }

private:
  Answer m_answer;
};

/** The services in the answer to SHOW CONFIGURATION. Throws Error
 *  (InvalidConfiguration) if there are none. */
std::map<std::string, ServiceSpec>
ExtractServices(const nlohmann::json& aBody);

/** Whole file; "-" is aInput. Throws UsageError if it cannot be read. */
std::string
ReadFileOrInput(const std::string& aPath, std::istream& aInput);

} // namespace goldcrestkeel::gkctl
