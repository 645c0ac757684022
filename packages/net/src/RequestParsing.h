#pragma once

#include <goldcrestkeel/control/CommandGuard.h>
#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/net/HttpFront.h>

#include <optional>
#include <string>

namespace goldcrestkeel {

/** Limits that a request is checked against. */
struct RequestLimits
{
  std::size_t m_maxBodyBytes = 65536;
  Duration m_maxDeadline{ 30000000 };
};

/** Search of a caller. m_search.m_deadline is 0 if the caller names none. */
StartSearch
ParseSearch(const CallerRequest& aRequest,
            const std::string& aService,
            const RequestLimits& aLimits);

struct CommandRequest
{
  Command m_command;
  /** Not set if the caller names none. */
  std::optional<Duration> m_deadline;
};

CommandRequest
ParseCommand(const CallerRequest& aRequest,
             const std::string& aService,
             const RequestLimits& aLimits);

/** Throws Error (BadIdempotencyKey) unless aKey is valid. */
void
CheckIdempotencyKey(const std::string& aKey);

struct StatementRequest
{
  std::string m_statement;
  std::string m_operationId;
  std::optional<Duration> m_deadline;
};

StatementRequest
ParseStatementRequest(const CallerRequest& aRequest,
                      const RequestLimits& aLimits);

// All of them throw Error (a kind of status 4xx) that names the faulty field.

} // namespace goldcrestkeel
