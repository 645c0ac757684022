#include "ChangeCommit.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Number of writes by others that may come first before the change fails. */
constexpr int kMaxWriteConflicts = 8;
/** Delay before the document is read again after a write without a reply. */
constexpr Duration kReadBackDelay = std::chrono::milliseconds{ 200 };

const AuditEntry*
FindOperation(const Configuration& aConfiguration, const std::string& aId)
{
  for (const AuditEntry& entry : aConfiguration.m_audit) {
    if (entry.m_operationId == aId) {
      return &entry;
    }
  }
  return nullptr;
}

std::string
JoinErrors(const std::vector<ValidationError>& aErrors)
{
  std::string text;
  for (const ValidationError& error : aErrors) {
    text += text.empty() ? "" : "\n";
    text += error.m_path + ": " + error.m_message;
  }
  return text;
}

} // namespace

ChangeCommit::ChangeCommit(ChangeRequest aRequest, const Configuration& aKnown)
  : m_request(std::move(aRequest))
{
  m_request.m_change.resize(
    std::min(m_request.m_change.size(), kMaxChangeTextBytes));
  if (aKnown.m_revision > 0) {
    m_baseServices = ChangedServices(aKnown.m_services);
  }
}

ChangeCommit::Services
ChangeCommit::ChangedServices(const Services& aServices) const
{
  Services changed;
  const auto add = [&](const std::string& aName) {
    const auto found = aServices.find(aName);
    if (found != aServices.end()) {
      changed.insert(*found);
    }
  };
  for (const ServiceSpec& spec : m_request.m_updatedServices) {
    add(spec.m_name);
  }
  for (const std::string& name : m_request.m_removedServices) {
    add(name);
  }
  return changed;
}

ChangeCommit::Step
ChangeCommit::Start()
{
  if (m_request.m_operationId.empty() ||
      m_request.m_operationId.size() > kMaxOperationIdLength) {
    return Fail(ErrorKind::BadRequest,
                "the operation id must have from 1 to " +
                  std::to_string(kMaxOperationIdLength) + " characters");
  }
  Services set;
  for (const ServiceSpec& spec : m_request.m_updatedServices) {
    set[spec.m_name] = spec;
  }
  const auto errors = ValidateServices(set);
  if (!errors.empty()) {
    return Fail(ErrorKind::InvalidConfiguration, JoinErrors(errors));
  }
  return Read(Duration{ 0 });
}

ChangeCommit::Step
ChangeCommit::Read(Duration aDelay)
{
  m_writing = false;
  Step step;
  step.m_call.emplace();
  step.m_call->m_operation = StoreOperation::Get;
  step.m_call->m_key = kConfigurationKey;
  step.m_delay = aDelay;
  return step;
}

ChangeCommit::Step
ChangeCommit::Write()
{
  m_writing = true;
  Step step;
  step.m_call.emplace();
  step.m_call->m_operation = StoreOperation::CompareAndSwap;
  step.m_call->m_key = kConfigurationKey;
  step.m_call->m_value = m_document;
  step.m_call->m_index = m_index;
  return step;
}

ChangeCommit::Step
ChangeCommit::Handle(const StoreResult& aResult)
{
  return m_writing ? HandleWriteResult(aResult) : HandleReadResult(aResult);
}

ChangeCommit::Step
ChangeCommit::HandleReadResult(const StoreResult& aResult)
{
  Configuration stored;
  std::uint64_t index = 0;
  if (aResult.m_status == StoreStatus::Ok) {
    try {
      stored = ParseConfiguration(aResult.m_value);
    } catch (const Error& error) {
      return Fail(
        ErrorKind::Internal,
        std::string("the stored configuration document is invalid: ") +
          error.what());
    }
    index = aResult.m_index;
  } else if (aResult.m_status != StoreStatus::NotFound) {
    return m_inDoubt ? Read(kReadBackDelay)
                     : Fail(ErrorKind::StoreUnavailable,
                            "the store did not answer; nothing was written");
  }
  if (const AuditEntry* entry =
        FindOperation(stored, m_request.m_operationId)) {
    return Succeed(*entry, stored);
  }
  if (m_inDoubt && index == m_index) {
    return Write();
  }
  m_inDoubt = false;
  m_index = index;
  return PrepareWrite(stored);
}

ChangeCommit::Step
ChangeCommit::HandleWriteResult(const StoreResult& aResult)
{
  switch (aResult.m_status) {
    case StoreStatus::Ok:
      return Succeed(m_target.m_audit.back(), m_target);
    case StoreStatus::Conflict:
      return ++m_conflicts > kMaxWriteConflicts && !m_inDoubt
               ? Fail(ErrorKind::ConfigurationConflict,
                      "other changes were written first " +
                        std::to_string(kMaxWriteConflicts) + " times")
               : Read(Duration{ 0 });
    case StoreStatus::Failed:
      if (!m_inDoubt) {
        return Fail(ErrorKind::StoreUnavailable,
                    "the store refused the write; nothing was written");
      }
      return Read(kReadBackDelay);
    case StoreStatus::NotFound:
    case StoreStatus::Unknown:
      m_inDoubt = true;
      return Read(kReadBackDelay);
  }
  return Read(kReadBackDelay);
}

std::optional<std::string>
ChangeCommit::DetectConflict(const Configuration& aStored)
{
  const Services current = ChangedServices(aStored.m_services);
  if (!m_baseServices) {
    m_baseServices = current;
  }
  const bool expected =
    !m_request.m_expected || *m_request.m_expected == aStored.m_revision;
  if (expected && current == *m_baseServices) {
    return std::nullopt;
  }
  std::string text =
    "the configuration is now revision " + std::to_string(aStored.m_revision);
  if (!aStored.m_audit.empty()) {
    const AuditEntry& last = aStored.m_audit.back();
    text += ", last changed by " + last.m_operator + ": " + last.m_change;
  }
  return text + "\n" + DiffServices(*m_baseServices, current);
}

ChangeCommit::Step
ChangeCommit::PrepareWrite(const Configuration& aStored)
{
  if (const auto conflict = DetectConflict(aStored)) {
    return Fail(ErrorKind::ConfigurationConflict, *conflict);
  }
  m_target = aStored;
  if (auto failure = Apply(m_target)) {
    return *failure;
  }
  ++m_target.m_revision;
  m_target.m_accepted = false;
  m_target.m_audit.push_back({ .m_revision = m_target.m_revision,
                               .m_operator = m_request.m_operator,
                               .m_changedAt = m_request.m_changedAt,
                               .m_from = m_request.m_from,
                               .m_operationId = m_request.m_operationId,
                               .m_change = m_request.m_change,
                               .m_outcome = "pending" });
  if (auto failure = SerializeBounded(m_target)) {
    return *failure;
  }
  return Write();
}

std::optional<ChangeCommit::Step>
ChangeCommit::Apply(Configuration& aTarget)
{
  for (const std::string& name : m_request.m_removedServices) {
    if (aTarget.m_services.erase(name) == 0) {
      return Fail(ErrorKind::UnknownService, "there is no service " + name);
    }
  }
  for (const ServiceSpec& spec : m_request.m_updatedServices) {
    aTarget.m_services[spec.m_name] = spec;
  }
  const auto errors = ValidateServices(aTarget.m_services);
  if (!errors.empty()) {
    return Fail(ErrorKind::InvalidConfiguration, JoinErrors(errors));
  }
  return std::nullopt;
}

std::optional<ChangeCommit::Step>
ChangeCommit::SerializeBounded(Configuration& aTarget)
{
  std::vector<AuditEntry>& audit = aTarget.m_audit;
  if (audit.size() > kMaxAuditEntries) {
    audit.erase(audit.begin(),
                audit.end() - static_cast<std::ptrdiff_t>(kMaxAuditEntries));
  }
  m_document = SerializeConfiguration(aTarget);
  // Audit entries are dropped before a valid service list is refused.
  while (m_document.size() > kMaxDocumentBytes && audit.size() > 1) {
    audit.erase(audit.begin(),
                audit.begin() +
                  static_cast<std::ptrdiff_t>((audit.size() + 1) / 2));
    m_document = SerializeConfiguration(aTarget);
  }
  if (m_document.size() > kMaxDocumentBytes) {
    return Fail(ErrorKind::InvalidConfiguration,
                "the document has " + std::to_string(m_document.size()) +
                  " bytes; at most " + std::to_string(kMaxDocumentBytes) +
                  " are allowed");
  }
  return std::nullopt;
}

ChangeCommit::Step
ChangeCommit::Fail(ErrorKind aKind, const std::string& aDetail)
{
  Step step;
  step.m_result = ChangeResult{ .m_request = m_request.m_request,
                                .m_operationId = m_request.m_operationId,
                                .m_error = aKind,
                                .m_detail = aDetail };
  return step;
}

ChangeCommit::Step
ChangeCommit::Succeed(const AuditEntry& aEntry, const Configuration& aStored)
{
  if (aEntry.m_change != m_request.m_change) {
    return Fail(ErrorKind::IdempotencyKeyReused,
                "the operation id is already used by another change: " +
                  aEntry.m_change);
  }
  Step step;
  step.m_document = std::make_shared<const Configuration>(aStored);
  step.m_result = ChangeResult{ .m_request = m_request.m_request,
                                .m_operationId = m_request.m_operationId,
                                .m_revision = aEntry.m_revision,
                                .m_accepted = aEntry.m_outcome == "accepted" };
  return step;
}

ChangeResult
ChangeCommit::UnresolvedResult() const
{
  return { .m_request = m_request.m_request,
           .m_operationId = m_request.m_operationId,
           .m_error = m_inDoubt || m_writing ? ErrorKind::OutcomeUnknown
                                             : ErrorKind::StoreUnavailable,
           .m_detail = m_inDoubt || m_writing
                         ? "the store has not confirmed the write; send the "
                           "same operation id again"
                         : "the store did not answer; nothing was written" };
}

} // namespace goldcrestkeel
