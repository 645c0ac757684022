#include "Session.h"

#include "Keys.h"

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace goldcrestkeel::gkctl {

namespace {

using nlohmann::json;

constexpr const char* kDefaultHost = "127.0.0.1:8080";
constexpr Duration kSearchTimeout = std::chrono::seconds{ 65 };
// An entry host answers a change after at most 35 s: 30 s for the write and 5 s
// for its acceptance.
constexpr Duration kStatementTimeout = std::chrono::seconds{ 45 };
constexpr Duration kProbeTimeout = std::chrono::seconds{ 3 };
constexpr double kMaxTimeoutMs = 600000;

std::string
EnvironmentVariable(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? std::string() : std::string(value);
}

/** Returns aStatement, with aKey as idempotency key if it is a command without
 *  one. */
Statement
WithKey(Statement aStatement, const std::string& aKey)
{
  if (auto* hold = std::get_if<HoldStatement>(&aStatement)) {
    hold->m_key = hold->m_key.value_or(aKey);
  } else if (auto* invoice = std::get_if<InvoiceStatement>(&aStatement)) {
    invoice->m_key = invoice->m_key.value_or(aKey);
  }
  return aStatement;
}

std::string
KeyOf(const Statement& aStatement, const std::string& aDefault)
{
  if (const auto* hold = std::get_if<HoldStatement>(&aStatement)) {
    return hold->m_key.value_or(aDefault);
  }
  if (const auto* invoice = std::get_if<InvoiceStatement>(&aStatement)) {
    return invoice->m_key.value_or(aDefault);
  }
  return aDefault;
}

/** Removes line breaks, which a header value must not contain. */
std::string
StripLineBreaks(std::string aText)
{
  std::erase_if(aText, [](char aCharacter) {
    return aCharacter == '\r' || aCharacter == '\n';
  });
  return aText;
}

Request
StatementRequest(const Statement& aStatement,
                 const CommonOptions& aOptions,
                 RandomSource& aRandom)
{
  const std::string id = MakeKey(WallNow(), aRandom);
  Request request;
  request.m_path = "/v1/statements";
  request.m_body = Dump({ { "statement", Format(WithKey(aStatement, id)) },
                          { "operation_id", id } });
  request.m_headers.push_back("X-Operator: " +
                              StripLineBreaks(aOptions.m_operator));
  if (IsCommand(aStatement)) {
    request.m_headers.push_back("Idempotency-Key: " +
                                StripLineBreaks(KeyOf(aStatement, id)));
  }
  return request;
}

} // namespace

void
CommonOptions::Declare(OptionTable& aTable)
{
  aTable.Value("host",
               "IP:PORT",
               "entry host; several are tried in order "
               "[$GKCTL_HOST or 127.0.0.1:8080]",
               [this](const std::string& aHost) { m_hosts.push_back(aHost); });
  aTable.Text(
    "who", "NAME", "operator for the audit trail [$USER]", m_operator);
  aTable.Number("timeout-ms",
                "N",
                "timeout of a request to one host, in milliseconds",
                1,
                kMaxTimeoutMs,
                [this](double aMilliseconds) {
                  m_timeout = std::chrono::milliseconds(
                    static_cast<std::int64_t>(aMilliseconds));
                });
  aTable.Flag("json", "print JSON", m_json);
  aTable.Flag("help", "print this help", m_help);
}

void
CommonOptions::ApplyDefaults()
{
  if (m_hosts.empty()) {
    const std::string host = EnvironmentVariable("GKCTL_HOST");
    m_hosts.push_back(host.empty() ? kDefaultHost : host);
  }
  if (m_operator.empty()) {
    m_operator = EnvironmentVariable("USER");
  }
  if (m_operator.empty()) {
    m_operator = "unknown";
  }
}

Session::Session(const Environment& aEnvironment, const CommonOptions& aOptions)
  : m_environment(aEnvironment)
  , m_options(aOptions)
{
}

Answer
Session::Send(std::vector<std::string> aHosts,
              Request aRequest,
              Duration aDefaultTimeout)
{
  aRequest.m_timeout =
    m_options.m_timeout.count() > 0 ? m_options.m_timeout : aDefaultTimeout;
  return FailoverClient(m_environment.m_transport, std::move(aHosts))
    .Call(std::move(aRequest));
}

Answer
Session::Execute(const Statement& aStatement)
{
  return Send(m_options.m_hosts,
              StatementRequest(aStatement, m_options, m_environment.m_random),
              kStatementTimeout);
}

Answer
Session::ExecuteOn(const std::string& aHost, const Statement& aStatement)
{
  return Send({ aHost },
              StatementRequest(aStatement, m_options, m_environment.m_random),
              kProbeTimeout);
}

Answer
Session::Search(const SearchStatement& aSearch)
{
  Request request;
  request.m_path = ServicePath(aSearch.m_service, "search");
  request.m_body = Dump(SearchBody(aSearch));
  return Send(m_options.m_hosts, std::move(request), kSearchTimeout);
}

Answer
Session::Get(const std::string& aHost, const std::string& aPath)
{
  Request request;
  request.m_path = aPath;
  return Send({ aHost }, std::move(request), kProbeTimeout);
}

std::map<std::string, ServiceSpec>
Session::CurrentServices()
{
  Answer answer =
    Execute(ShowStatement{ ShowSubject::Configuration, "", std::nullopt });
  if (!answer.Succeeded()) {
    throw RequestFailure(std::move(answer));
  }
  return ExtractServices(answer.m_body);
}

ExitCode
Session::Print(const Answer& aAnswer)
{
  if (m_options.m_json) {
    nlohmann::json body = aAnswer.m_body;
    if (!aAnswer.Succeeded() && body.is_object()) {
      // The body is that of the last host, whereas m_ran covers all hosts that
      // were tried.
      body["ran"] = NameOf(aAnswer.m_ran);
    }
    m_environment.m_out << Dump(body) << "\n";
  } else if (aAnswer.Succeeded()) {
    m_environment.m_out << DescribeBody(aAnswer.m_body);
  } else {
    m_environment.m_err << DescribeProblem(aAnswer) << "\n";
  }
  return ExitCodeOf(aAnswer);
}

std::string
ServicePath(const std::string& aService, const std::string& aOperation)
{
  constexpr std::string_view kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.-";
  if (aService.empty() ||
      aService.find_first_not_of(kAllowed) != std::string::npos) {
    throw UsageError("a service name may contain only letters, digits, '-', "
                     "'_' and '.'");
  }
  return "/v1/services/" + aService + "/" + aOperation;
}

json
SearchBody(const SearchStatement& aSearch)
{
  json body{ { "query", aSearch.m_text } };
  if (aSearch.m_limit) {
    body["limit"] = *aSearch.m_limit;
  }
  if (aSearch.m_offset) {
    body["offset"] = *aSearch.m_offset;
  }
  if (aSearch.m_deadline) {
    body["deadline_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(*aSearch.m_deadline)
        .count();
  }
  if (aSearch.m_coverage) {
    body["min_coverage"] = *aSearch.m_coverage;
  }
  if (aSearch.m_snapshot) {
    body["snapshot"] = *aSearch.m_snapshot;
  }
  if (aSearch.m_class) {
    body["class"] = NameOf(*aSearch.m_class);
  }
  return body;
}

RequestFailure::RequestFailure(Answer aAnswer)
  : std::runtime_error(aAnswer.ErrorName())
  , m_answer(std::move(aAnswer))
{
}

std::map<std::string, ServiceSpec>
ExtractServices(const json& aBody)
{
  if (aBody.is_object()) {
    for (const char* section : { "configuration", "result" }) {
      if (aBody.contains(section)) {
        return ExtractServices(aBody.at(section));
      }
    }
    if (aBody.contains("services") && aBody.at("services").is_array()) {
      return ParseServices(Dump({ { "services", aBody.at("services") } }));
    }
  }
  throw Error(ErrorKind::InvalidConfiguration,
              "the answer contains no list of services",
              "services");
}

std::string
ReadFileOrInput(const std::string& aPath, std::istream& aInput)
{
  if (aPath == "-") {
    return { std::istreambuf_iterator<char>(aInput), {} };
  }
  std::ifstream file(aPath, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file), {} };
  if (!file) {
    throw UsageError(aPath + " cannot be read");
  }
  return text;
}

} // namespace goldcrestkeel::gkctl
