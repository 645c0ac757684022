#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** All error kinds. Each has one row in the table behind InfoOf(), in the same
 *  order. */
enum class ErrorKind
{
  BadRequest,
  UnknownService,
  WrongServiceKind,
  MissingIdempotencyKey,
  BadIdempotencyKey,
  IdempotencyKeyReused,
  BodyTooLarge,
  StatementSyntax,
  InvalidConfiguration,
  ConfigurationConflict,
  NotFound,
  MethodNotAllowed,
  NotReady,
  ShuttingDown,
  Overloaded,
  DeadlineTooShort,
  Quarantined,
  RequestQuarantined,
  NoReplica,
  SnapshotUnavailable,
  CoverageNotReached,
  DeadlineExceeded,
  CommandRefused,
  OutcomeUnknown,
  CommandInProgress,
  StoreUnavailable,
  ConfigurationPending,
  Unauthorized,
  RateLimited,
  /** A backend server closed the connection early, or too few shards can
   *  answer. */
  BackendFailed,
  Internal,
};

/** Whether a failed request has run on a backend server. */
enum class Ran
{
  No,
  Unknown,
  Yes,
};

/** Name, HTTP status and title of the response for an error kind. */
struct ErrorInfo
{
  ErrorKind m_kind;
  std::string_view m_name;
  int m_httpStatus;
  Ran m_ran;
  std::string_view m_title;
};

/** Returns the table row for aKind. The reference is valid for the life of the
 *  process. */
const ErrorInfo&
InfoOf(ErrorKind aKind);

/** Returns the kind named aName, or nothing if there is none. */
std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName);

/** Returns "no", "unknown" or "yes". */
std::string_view
NameOf(Ran aRan);

/** Inverse of NameOf(Ran); nothing for any other name. */
std::optional<Ran>
RanFromName(std::string_view aName);

/** Carries an error kind to the HTTP layer, which sends it as an
 *  application/problem+json response. */
class Error : public std::runtime_error
{
public:
  /** aDetail becomes what(). aField names the invalid input field; it is empty
   *  if there is none. */
  Error(ErrorKind aKind, const std::string& aDetail, std::string aField = {});

  ErrorKind Kind() const { return m_kind; }
  const std::string& Field() const { return m_field; }

private:
  ErrorKind m_kind;
  std::string m_field;
};

} // namespace goldcrestkeel
