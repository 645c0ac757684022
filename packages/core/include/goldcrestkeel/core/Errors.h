#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** The closed list of error kinds. Each has one row in the table behind
 *  InfoOf(). */
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
  /** A backend server broke off, or too few shards can answer. */
  BackendFailed,
  Internal,
};

/** Whether the request that failed has run on a backend server. */
enum class Ran
{
  No,
  Unknown,
  Yes,
};

/** Answer that belongs to an error kind. */
struct ErrorInfo
{
  ErrorKind m_kind;
  std::string_view m_name;
  int m_httpStatus;
  Ran m_ran;
  std::string_view m_title;
};

/** Row of the table for aKind. */
const ErrorInfo&
InfoOf(ErrorKind aKind);

/** Kind with this name, or nothing. */
std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName);

/** "no", "unknown" or "yes". */
std::string_view
NameOf(Ran aRan);

std::optional<Ran>
RanFromName(std::string_view aName);

/** Exception that carries an error kind to the edge, where it becomes an
 *  application/problem+json answer. */
class Error : public std::runtime_error
{
public:
  /** aField names the faulty input field, empty if there is none. */
  Error(ErrorKind aKind, const std::string& aDetail, std::string aField = {});

  ErrorKind Kind() const { return m_kind; }
  const std::string& Field() const { return m_field; }

private:
  ErrorKind m_kind;
  std::string m_field;
};

} // namespace goldcrestkeel
