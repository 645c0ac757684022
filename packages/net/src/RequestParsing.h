#pragma once

#include <goldcrestkeel/control/CommandGuard.h>
#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/net/HttpFront.h>

#include <optional>
#include <string>

namespace goldcrestkeel {

// All functions here throw Error (a kind with a 4xx status) that names the
// invalid field.

/** Limits that requests are validated against. */
struct RequestLimits
{
  std::size_t m_maxBodyBytes = 65536;
  Duration m_maxDeadline{ 30000000 };
};

/** Parses a search request. The result's m_deadline is 0 if the request has no
 *  deadline. */
StartSearch
ParseSearch(const CallerRequest& aRequest,
            const std::string& aService,
            const RequestLimits& aLimits);

struct CommandRequest
{
  Command m_command;
  /** Empty if the request has no deadline. */
  std::optional<Duration> m_deadline;
};

/** Parses a command request; requires an idempotency key. */
CommandRequest
ParseCommand(const CallerRequest& aRequest,
             const std::string& aService,
             const RequestLimits& aLimits);

/** Throws Error (BadIdempotencyKey) unless aKey has the form
 *  "<unix milliseconds>-<random>". */
void
CheckIdempotencyKey(const std::string& aKey);

struct StatementRequest
{
  std::string m_statement;
  /** Empty if the request has none. */
  std::string m_operationId;
  std::optional<Duration> m_deadline;
};

/** Parses a request to /v1/statements; the statement itself is not parsed. */
StatementRequest
ParseStatementRequest(const CallerRequest& aRequest,
                      const RequestLimits& aLimits);

} // namespace goldcrestkeel
