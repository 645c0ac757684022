#include <goldcrestkeel/core/Errors.h>

#include <algorithm>
#include <array>

namespace goldcrestkeel {

namespace {

using enum ErrorKind;

constexpr std::array kErrors{
  ErrorInfo{ BadRequest, "bad_request", 400, Ran::No, "Malformed request" },
  ErrorInfo{ UnknownService,
             "unknown_service",
             404,
             Ran::No,
             "No such service" },
  ErrorInfo{ WrongServiceKind,
             "wrong_service_kind",
             400,
             Ran::No,
             "The service does not accept this kind of request" },
  ErrorInfo{ MissingIdempotencyKey,
             "missing_idempotency_key",
             400,
             Ran::No,
             "The Idempotency-Key header is missing" },
  ErrorInfo{ BadIdempotencyKey,
             "bad_idempotency_key",
             400,
             Ran::No,
             "The Idempotency-Key header is not valid" },
  ErrorInfo{ IdempotencyKeyReused,
             "idempotency_key_reused",
             422,
             Ran::Unknown,
             "The key belongs to a different command" },
  ErrorInfo{ BodyTooLarge, "body_too_large", 413, Ran::No, "Body too large" },
  ErrorInfo{ StatementSyntax,
             "statement_syntax",
             400,
             Ran::No,
             "The statement is not valid" },
  ErrorInfo{ InvalidConfiguration,
             "invalid_configuration",
             422,
             Ran::No,
             "The configuration is not valid" },
  ErrorInfo{ ConfigurationConflict,
             "configuration_conflict",
             409,
             Ran::No,
             "Another change came first" },
  ErrorInfo{ NotFound, "not_found", 404, Ran::No, "Not found" },
  ErrorInfo{ MethodNotAllowed,
             "method_not_allowed",
             405,
             Ran::No,
             "Method not allowed" },
  ErrorInfo{ NotReady, "not_ready", 503, Ran::No, "The host is not ready" },
  ErrorInfo{ ShuttingDown,
             "shutting_down",
             503,
             Ran::No,
             "The host is shutting down" },
  ErrorInfo{ Overloaded, "overloaded", 503, Ran::No, "The host is overloaded" },
  ErrorInfo{ DeadlineTooShort,
             "deadline_too_short",
             504,
             Ran::No,
             "The request could not start before its deadline" },
  ErrorInfo{ Quarantined,
             "quarantined",
             403,
             Ran::No,
             "The statement is in quarantine" },
  ErrorInfo{ RequestQuarantined,
             "request_quarantined",
             503,
             Ran::No,
             "The request is in quarantine" },
  ErrorInfo{ NoReplica, "no_replica", 503, Ran::No, "No replica may be used" },
  ErrorInfo{ SnapshotUnavailable,
             "snapshot_unavailable",
             410,
             Ran::No,
             "The snapshot is no longer served" },
  ErrorInfo{ CoverageNotReached,
             "coverage_not_reached",
             503,
             Ran::Yes,
             "The required coverage was not reached" },
  ErrorInfo{ DeadlineExceeded,
             "deadline_exceeded",
             504,
             Ran::Unknown,
             "The deadline passed" },
  ErrorInfo{ CommandRefused,
             "command_refused",
             503,
             Ran::No,
             "No backend server ran the command" },
  ErrorInfo{ OutcomeUnknown,
             "outcome_unknown",
             502,
             Ran::Unknown,
             "It is not known whether the command ran" },
  ErrorInfo{ CommandInProgress,
             "command_in_progress",
             409,
             Ran::Unknown,
             "The command with this key is still running" },
  ErrorInfo{ StoreUnavailable,
             "store_unavailable",
             503,
             Ran::No,
             "The configuration store is unavailable" },
  ErrorInfo{ ConfigurationPending,
             "configuration_pending",
             202,
             Ran::Yes,
             "The change waits for the confirmation of some hosts" },
  ErrorInfo{ Unauthorized,
             "unauthorized",
             401,
             Ran::No,
             "The request is not authorized" },
  ErrorInfo{ RateLimited,
             "rate_limited",
             429,
             Ran::No,
             "The rate limit is exceeded" },
  ErrorInfo{ BackendFailed,
             "backend_failed",
             502,
             Ran::Unknown,
             "The backend servers gave no usable answer" },
  ErrorInfo{ Internal, "internal", 500, Ran::Unknown, "Internal error" },
};

} // namespace

const ErrorInfo&
InfoOf(ErrorKind aKind)
{
  return kErrors.at(static_cast<std::size_t>(aKind));
}

std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName)
{
  const auto* row =
    std::find_if(kErrors.begin(), kErrors.end(), [&](const ErrorInfo& aInfo) {
      return aInfo.m_name == aName;
    });
  if (row == kErrors.end()) {
    return std::nullopt;
  }
  return row->m_kind;
}

std::string_view
NameOf(Ran aRan)
{
  switch (aRan) {
    case Ran::No:
      return "no";
    case Ran::Unknown:
      return "unknown";
    case Ran::Yes:
      return "yes";
  }
  return "unknown";
}

std::optional<Ran>
RanFromName(std::string_view aName)
{
  for (Ran ran : { Ran::No, Ran::Unknown, Ran::Yes }) {
    if (NameOf(ran) == aName) {
      return ran;
    }
  }
  return std::nullopt;
}

Error::Error(ErrorKind aKind, const std::string& aDetail, std::string aField)
  : std::runtime_error(aDetail)
  , m_kind(aKind)
  , m_field(std::move(aField))
{
}

} // namespace goldcrestkeel
