#include "Problem.h"
#include "RequestParsing.h"
#include "ShowStatements.h"
#include "StatementActions.h"

#include <goldcrestkeel/net/Api.h>
#include <goldcrestkeel/net/Log.h>

#include <algorithm>
#include <string_view>

namespace goldcrestkeel {

namespace {

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kStatementsPath = "/v1/statements";
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kFirstServerError = 500;

void
RequireMethod(const CallerRequest& aRequest, std::string_view aMethod)
{
  if (aRequest.m_method != aMethod) {
    throw Error(ErrorKind::MethodNotAllowed,
                aRequest.m_path + " accepts only the method " +
                  std::string(aMethod));
  }
}

nlohmann::json
ToJson(const CoverageReport& aCoverage)
{
  return { { "fraction", aCoverage.m_fraction },
           { "documents_searched", aCoverage.m_documentsSearched },
           { "documents_total", aCoverage.m_documentsTotal },
           { "shards_answered", aCoverage.m_shardsAnswered },
           { "shards_total", aCoverage.m_shardsTotal },
           { "missing_shards", aCoverage.m_missingShards } };
}

nlohmann::json
ToJson(const std::vector<Hit>& aHits)
{
  nlohmann::json hits = nlohmann::json::array();
  for (const Hit& hit : aHits) {
    hits.push_back({ { "id", hit.m_id },
                     { "title", hit.m_title },
                     { "score", hit.m_score } });
  }
  return hits;
}

CallerResponse
ToResponse(const FinishSearch& aFinish, const std::string& aRequestId)
{
  if (aFinish.m_error) {
    nlohmann::json extra = nlohmann::json::object();
    if (*aFinish.m_error == ErrorKind::CoverageNotReached) {
      extra["coverage"] = ToJson(aFinish.m_coverage);
      extra["snapshot"] = aFinish.m_snapshot;
    }
    return ProblemResponse(
      *aFinish.m_error, aFinish.m_ran, aFinish.m_detail, {}, aRequestId, extra);
  }
  return { kOk,
           Dump({ { "request_id", aRequestId },
                  { "snapshot", aFinish.m_snapshot },
                  { "coverage", ToJson(aFinish.m_coverage) },
                  { "hits", ToJson(aFinish.m_hits) } }) };
}

CallerResponse
ToResponse(const CommandOutcome& aOutcome, const std::string& aRequestId)
{
  if (aOutcome.m_error) {
    return ProblemResponse(
      *aOutcome.m_error, aOutcome.m_ran, aOutcome.m_detail, {}, aRequestId);
  }
  return { kOk,
           Dump({ { "request_id", aRequestId },
                  { "ran", NameOf(aOutcome.m_ran) },
                  { "result", aOutcome.m_result } }) };
}

CallerResponse
ToResponse(const ChangeResult& aResult, const std::string& aRequestId)
{
  nlohmann::json body{ { "request_id", aRequestId },
                       { "operation_id", aResult.m_operationId },
                       { "revision", aResult.m_revision },
                       { "accepted", aResult.m_accepted },
                       { "missing_hosts", aResult.m_missingHosts } };
  if (aResult.m_error && *aResult.m_error != ErrorKind::ConfigurationPending) {
    return ProblemResponse(*aResult.m_error,
                           InfoOf(*aResult.m_error).m_ran,
                           aResult.m_detail,
                           {},
                           aRequestId,
                           body);
  }
  return { aResult.m_accepted ? kOk : kAccepted, Dump(body) };
}

void
RespondWithError(const std::shared_ptr<Exchange>& aExchange,
                 const Error& aError)
{
  const CallerRequest& request = aExchange->Request();
  aExchange->Respond(ProblemResponse(
    aError, request.m_requestId, request.m_idempotencyKey.has_value()));
}

} // namespace

Api::Api(ApiDependencies aDependencies)
  : m_dependencies(std::move(aDependencies))
{
}

void
Api::Handle(std::shared_ptr<Exchange> aExchange)
{
  try {
    Route(aExchange);
  } catch (const Error& error) {
    Log(Severity::Info,
        "request refused",
        { { "request_id", aExchange->Request().m_requestId },
          { "path", aExchange->Request().m_path },
          { "error", InfoOf(error.Kind()).m_name },
          { "detail", error.what() } });
    m_dependencies.m_metrics.CountRequest(
      "refused", error.Kind(), Duration{ 0 });
    RespondWithError(aExchange, error);
  }
}

void
Api::Route(const SharedExchange& aExchange)
{
  const CallerRequest& request = aExchange->Request();
  if (request.m_path == "/healthz") {
    RequireMethod(request, "GET");
    aExchange->Respond({ kOk, "{\"alive\":true}" });
  } else if (request.m_path == "/readyz") {
    RequireMethod(request, "GET");
    if (!m_dependencies.m_lifecycle.Ready()) {
      throw Error(ErrorKind::NotReady,
                  m_dependencies.m_lifecycle.Draining() ? "draining"
                  : m_dependencies.m_lifecycle.Serving()
                    ? "joining the other hosts"
                    : "no configuration");
    }
    aExchange->Respond({ kOk, "{\"ready\":true}" });
  } else if (request.m_path == "/metrics") {
    RequireMethod(request, "GET");
    HandleMetrics(aExchange);
  } else if (request.m_path == kStatementsPath) {
    RequireMethod(request, "POST");
    CheckNotRefusing();
    HandleStatement(aExchange);
  } else if (request.m_path.starts_with(kServicesPrefix)) {
    HandleService(aExchange);
  } else {
    throw Error(ErrorKind::NotFound, "unknown path", "path");
  }
}

void
Api::HandleService(const SharedExchange& aExchange)
{
  const CallerRequest& request = aExchange->Request();
  const std::string_view rest =
    std::string_view(request.m_path).substr(kServicesPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string service(rest.substr(0, slash));
  const std::string_view operation =
    slash == std::string_view::npos ? std::string_view() : rest.substr(slash);
  if (operation == "/search") {
    RequireMethod(request, "POST");
    CheckAccepting();
    HandleSearch(aExchange, service);
  } else if (operation == "/commands") {
    RequireMethod(request, "POST");
    CheckAccepting();
    HandleCommand(aExchange, service);
  } else {
    throw Error(ErrorKind::NotFound, "unknown path", "path");
  }
}

// Statements do not require a configuration, because the first statement of a
// new installation creates it. Statements that search or run a command call
// CheckServing() later.
void
Api::CheckNotRefusing() const
{
  if (m_dependencies.m_lifecycle.Refusing()) {
    throw Error(ErrorKind::ShuttingDown, "the host is shutting down");
  }
}

void
Api::CheckAccepting() const
{
  CheckNotRefusing();
  if (!m_dependencies.m_lifecycle.Serving()) {
    throw Error(ErrorKind::NotReady, "the host has no configuration in force");
  }
}

void
Api::HandleSearch(const SharedExchange& aExchange, const std::string& aService)
{
  const RequestLimits limits{ m_dependencies.m_maxBodyBytes,
                              m_dependencies.m_maxDeadline };
  StartSearch search = ParseSearch(aExchange->Request(), aService, limits);
  RunOnLoop(aExchange, [this, aExchange, search = std::move(search)] {
    RunSearch(aExchange, search);
  });
}

void
Api::HandleCommand(const SharedExchange& aExchange, const std::string& aService)
{
  const RequestLimits limits{ m_dependencies.m_maxBodyBytes,
                              m_dependencies.m_maxDeadline };
  CommandRequest request = ParseCommand(aExchange->Request(), aService, limits);
  RunOnLoop(aExchange, [this, aExchange, request = std::move(request)] {
    RunCommand(aExchange, request.m_command, request.m_deadline);
  });
}

void
Api::HandleStatement(const SharedExchange& aExchange)
{
  const RequestLimits limits{ m_dependencies.m_maxBodyBytes,
                              m_dependencies.m_maxDeadline };
  StatementRequest request =
    ParseStatementRequest(aExchange->Request(), limits);
  if (request.m_operationId.empty()) {
    request.m_operationId = aExchange->Request().m_requestId;
  }
  RunOnLoop(aExchange,
            [this,
             aExchange,
             statement = ParseStatement(request.m_statement),
             operationId = request.m_operationId,
             deadline = request.m_deadline] {
              RunStatement(aExchange, statement, operationId, deadline);
            });
}

void
Api::RunStatement(const SharedExchange& aExchange,
                  const Statement& aStatement,
                  const std::string& aOperationId,
                  std::optional<Duration> aDeadline)
{
  if (const auto* search = std::get_if<SearchStatement>(&aStatement)) {
    StartSearch start = MakeSearch(*search);
    if (start.m_deadline == Duration{ 0 }) {
      start.m_deadline = aDeadline.value_or(Duration{ 0 });
    }
    if (start.m_deadline > m_dependencies.m_maxDeadline) {
      throw Error(ErrorKind::BadRequest,
                  "the deadline exceeds the maximum deadline of this host",
                  "deadline_ms");
    }
    RunSearch(aExchange, std::move(start));
  } else if (IsCommand(aStatement)) {
    RunCommand(aExchange,
               MakeCommand(aStatement, aExchange->Request().m_idempotencyKey),
               aDeadline);
  } else if (m_dependencies.m_control == nullptr) {
    throw Error(ErrorKind::NotReady,
                "the host does not run statements of this kind yet");
  } else if (ChangesConfiguration(aStatement)) {
    RunChange(aExchange, aStatement, aOperationId);
  } else {
    RunInspection(aExchange, aStatement);
  }
}

void
Api::RunChange(const SharedExchange& aExchange,
               const Statement& aStatement,
               const std::string& aOperationId)
{
  const ControlNode& node = m_dependencies.m_control->Node();
  ChangeRequest request =
    MakeChangeRequest(aStatement, *node.Manager().Current(), aOperationId);
  request.m_operator = aExchange->Request().m_operator.value_or("unknown");
  request.m_from = aExchange->Request().m_callerAddress;
  request.m_changedAt = m_dependencies.m_loop.GetClock().WallNow();
  const TimePoint start = m_dependencies.m_loop.Now();
  m_dependencies.m_control->Change(
    std::move(request), [this, aExchange, start](const ChangeResult& aResult) {
      RecordOutcome(aExchange, "change", start, aResult.m_error);
      aExchange->Respond(ToResponse(aResult, aExchange->Request().m_requestId));
    });
}

void
Api::RunInspection(const SharedExchange& aExchange, const Statement& aStatement)
{
  const ControlNode& node = m_dependencies.m_control->Node();
  const TimePoint now = m_dependencies.m_loop.Now();
  QueryEngine& engine = m_dependencies.m_searches.Engine();
  nlohmann::json body;
  if (const auto* show = std::get_if<ShowStatement>(&aStatement)) {
    body = Show(*show, node, engine, now);
    m_dependencies.m_control->Refresh();
  } else if (const auto* explain = std::get_if<ExplainStatement>(&aStatement)) {
    body = Explain(*explain, *node.Manager().Current());
  } else {
    const auto& lift = std::get<LiftQuarantineStatement>(aStatement);
    if (!engine.LiftQuarantine(now, lift.m_fingerprint)) {
      throw Error(ErrorKind::NotFound,
                  "no statement with this fingerprint is quarantined",
                  "fingerprint");
    }
    m_dependencies.m_searches.ReportSuspects();
    body = { { "lifted", lift.m_fingerprint } };
  }
  body["request_id"] = aExchange->Request().m_requestId;
  RecordOutcome(aExchange, "inspection", now, std::nullopt);
  aExchange->Respond({ kOk, Dump(body) });
}

void
Api::HandleMetrics(const SharedExchange& aExchange)
{
  RunOnLoop(aExchange, [this, aExchange] {
    m_dependencies.m_updateMetrics();
    aExchange->Respond({ kOk, m_dependencies.m_metrics.Text(), "text/plain" });
  });
}

const ServiceSpec&
Api::ServiceFor(const std::string& aName, ServiceKind aKind)
{
  const auto found = m_dependencies.m_searches.Services().find(aName);
  if (found == m_dependencies.m_searches.Services().end()) {
    throw Error(ErrorKind::UnknownService, "unknown service", "service");
  }
  if (found->second.m_kind != aKind) {
    throw Error(ErrorKind::WrongServiceKind,
                "the service is of the kind \"" +
                  std::string(NameOf(found->second.m_kind)) + "\"",
                "service");
  }
  return found->second;
}

void
Api::CheckServing() const
{
  if (m_dependencies.m_serving && !m_dependencies.m_serving()) {
    throw Error(ErrorKind::NotReady,
                "the host has not confirmed its configuration");
  }
}

void
Api::RunSearch(const SharedExchange& aExchange, StartSearch aSearch)
{
  CheckServing();
  const ServiceSpec& service =
    ServiceFor(aSearch.m_service, ServiceKind::Search);
  if (aSearch.m_deadline == Duration{ 0 }) {
    aSearch.m_deadline = service.m_policy.m_deadline;
  }
  const TimePoint start = m_dependencies.m_loop.Now();
  const QueryId query = m_dependencies.m_searches.Search(
    std::move(aSearch), [this, aExchange, start](FinishSearch&& aFinish) {
      RecordOutcome(aExchange, "search", start, aFinish.m_error);
      if (!aFinish.m_error) {
        m_dependencies.m_metrics.ObserveCoverage(aFinish.m_coverage.m_fraction);
      }
      aExchange->Respond(ToResponse(aFinish, aExchange->Request().m_requestId));
    });
  aExchange->OnDisconnect([this, query] {
    m_dependencies.m_loop.Post(
      [this, query] { m_dependencies.m_searches.Cancel(query); });
  });
}

void
Api::RunCommand(const SharedExchange& aExchange,
                Command aCommand,
                std::optional<Duration> aDeadline)
{
  CheckServing();
  const ServiceSpec& service =
    ServiceFor(aCommand.m_service, ServiceKind::Command);
  if (m_dependencies.m_commands == nullptr) {
    throw Error(ErrorKind::NotReady, "the host does not run commands yet");
  }
  const TimePoint start = m_dependencies.m_loop.Now();
  m_dependencies.m_commands->Submit(
    std::move(aCommand),
    aDeadline.value_or(service.m_policy.m_deadline),
    false,
    [this, aExchange, start](const AnswerCommand& aAnswer) {
      RecordOutcome(aExchange, "command", start, aAnswer.m_outcome.m_error);
      aExchange->Respond(
        ToResponse(aAnswer.m_outcome, aExchange->Request().m_requestId));
    });
}

void
Api::RunOnLoop(const SharedExchange& aExchange, std::function<void()> aRun)
{
  m_dependencies.m_loop.Post([this, aExchange, run = std::move(aRun)] {
    try {
      run();
    } catch (const Error& error) {
      RecordOutcome(
        aExchange, "refused", m_dependencies.m_loop.Now(), error.Kind());
      RespondWithError(aExchange, error);
    } catch (const std::exception& error) {
      RecordOutcome(
        aExchange, "refused", m_dependencies.m_loop.Now(), ErrorKind::Internal);
      RespondWithError(aExchange, Error(ErrorKind::Internal, error.what()));
    }
  });
}

void
Api::RecordOutcome(const SharedExchange& aExchange,
                   std::string_view aKind,
                   TimePoint aStart,
                   std::optional<ErrorKind> aError)
{
  const Duration time = m_dependencies.m_loop.Now() - aStart;
  m_dependencies.m_metrics.CountRequest(aKind, aError, time);
  const bool serverError =
    aError && InfoOf(*aError).m_httpStatus >= kFirstServerError;
  Log(serverError ? Severity::Warning
                  : (aError ? Severity::Info : Severity::Debug),
      "request finished",
      { { "request_id", aExchange->Request().m_requestId },
        { "kind", aKind },
        { "path", aExchange->Request().m_path },
        { "outcome", aError ? InfoOf(*aError).m_name : "ok" },
        { "microseconds", time.count() } });
}

} // namespace goldcrestkeel
