#include "StatementActions.h"

#include "SearchLimits.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

// Removes the idempotency key, so that a repeated command has the same body
// whether its key is in the statement or in the header.
Statement
WithoutKey(Statement aStatement)
{
  if (auto* hold = std::get_if<HoldStatement>(&aStatement)) {
    hold->m_key.reset();
  } else if (auto* invoice = std::get_if<InvoiceStatement>(&aStatement)) {
    invoice->m_key.reset();
  }
  return aStatement;
}

std::string
ChooseKey(const std::optional<std::string>& aStatementKey,
          const std::optional<std::string>& aHeaderKey)
{
  if (aStatementKey && aHeaderKey && *aStatementKey != *aHeaderKey) {
    throw Error(
      ErrorKind::BadRequest,
      "the KEY of the statement and the Idempotency-Key header differ",
      "Idempotency-Key");
  }
  const std::optional<std::string>& key =
    aStatementKey ? aStatementKey : aHeaderKey;
  if (!key) {
    throw Error(ErrorKind::MissingIdempotencyKey,
                "the statement requires a KEY or the Idempotency-Key header",
                "Idempotency-Key");
  }
  CheckIdempotencyKey(*key);
  return *key;
}

void
RequireInRange(const char* aField,
               std::uint64_t aValue,
               std::uint64_t aMin,
               std::uint64_t aMax)
{
  if (aValue < aMin || aValue > aMax) {
    throw Error(ErrorKind::BadRequest,
                std::string(aField) + ": must be from " + std::to_string(aMin) +
                  " to " + std::to_string(aMax),
                aField);
  }
}

/** Throws Error (BadRequest) for values that a search request may not have
 *  either. */
void
CheckLimits(const SearchStatement& aStatement)
{
  if (aStatement.m_text.empty() || aStatement.m_text.size() > kMaxQueryBytes) {
    throw Error(ErrorKind::BadRequest,
                "query: must be a string of 1 to " +
                  std::to_string(kMaxQueryBytes) + " bytes",
                "query");
  }
  RequireInRange("limit", aStatement.m_limit.value_or(1), 1, kMaxHits);
  RequireInRange("offset", aStatement.m_offset.value_or(0), 0, kMaxOffset);
  if (aStatement.m_snapshot == VersionId{ 0 }) {
    throw Error(
      ErrorKind::BadRequest, "snapshot: must be a positive number", "snapshot");
  }
  if (aStatement.m_deadline.value_or(kMinSearchDeadline) < kMinSearchDeadline) {
    throw Error(ErrorKind::BadRequest,
                "deadline_ms: must be at least 1 ms",
                "deadline_ms");
  }
}

bool
IsApplied(const Configuration& aCurrent, const std::string& aOperationId)
{
  return std::any_of(aCurrent.m_audit.begin(),
                     aCurrent.m_audit.end(),
                     [&](const AuditEntry& aEntry) {
                       return aEntry.m_operationId == aOperationId;
                     });
}

const ServiceSpec&
FindService(const Configuration& aCurrent, const std::string& aName)
{
  const auto found = aCurrent.m_services.find(aName);
  if (found == aCurrent.m_services.end()) {
    throw Error(ErrorKind::UnknownService, "unknown service", "service");
  }
  return found->second;
}

} // namespace

StartSearch
MakeSearch(const SearchStatement& aStatement)
{
  CheckLimits(aStatement);
  StartSearch search;
  search.m_service = aStatement.m_service;
  search.m_statement = aStatement.m_text;
  search.m_limit = aStatement.m_limit.value_or(search.m_limit);
  search.m_offset = aStatement.m_offset.value_or(0);
  search.m_deadline = aStatement.m_deadline.value_or(Duration{ 0 });
  search.m_minCoverage = aStatement.m_coverage;
  search.m_snapshot = aStatement.m_snapshot;
  search.m_class = aStatement.m_class.value_or(CallerClass::Interactive);
  return search;
}

Command
MakeCommand(const Statement& aStatement,
            const std::optional<std::string>& aHeaderKey)
{
  Command command;
  if (const auto* hold = std::get_if<HoldStatement>(&aStatement)) {
    command.m_service = hold->m_service;
    command.m_key = ChooseKey(hold->m_key, aHeaderKey);
  } else {
    const auto& invoice = std::get<InvoiceStatement>(aStatement);
    command.m_service = invoice.m_service;
    command.m_key = ChooseKey(invoice.m_key, aHeaderKey);
  }
  command.m_body = Format(WithoutKey(aStatement));
  return command;
}

ChangeRequest
MakeChangeRequest(const Statement& aStatement,
                  const Configuration& aCurrent,
                  const std::string& aOperationId)
{
  ChangeRequest request;
  request.m_operationId = aOperationId;
  request.m_change = Format(aStatement);
  if (IsApplied(aCurrent, aOperationId)) {
    return request;
  }
  if (const auto* create = std::get_if<CreateServiceStatement>(&aStatement)) {
    if (aCurrent.m_services.contains(create->m_service)) {
      throw Error(ErrorKind::ConfigurationConflict,
                  "the service already exists; use ALTER SERVICE",
                  "service");
    }
    request.m_updatedServices.push_back(ToServiceSpec(*create));
  } else if (const auto* alter =
               std::get_if<AlterServiceStatement>(&aStatement)) {
    request.m_updatedServices.push_back(
      ApplyAlterations(FindService(aCurrent, alter->m_service), *alter));
  } else {
    const auto& drop = std::get<DropServiceStatement>(aStatement);
    FindService(aCurrent, drop.m_service);
    request.m_removedServices.push_back(drop.m_service);
  }
  return request;
}

} // namespace goldcrestkeel
