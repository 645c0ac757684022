#pragma once

#include <goldcrestkeel/control/Configuration.h>
#include <goldcrestkeel/core/Errors.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** A change of the configuration that an operator requests. Services in
 *  m_updatedServices are added or replace those of the same name; services
 *  named in m_removedServices are removed. */
struct ChangeRequest
{
  /** Chosen by the caller of ConfigurationManager::Change(); ChangeResult
   *  carries the same number. */
  std::uint64_t m_request = 0;
  /** Chosen by the client of the operator. A request with the same id is a
   *  retry of the same change and is applied at most once. */
  std::string m_operationId;
  std::string m_operator;
  std::string m_from;
  WallTime m_changedAt = 0;
  /** Text of the change for the audit trail, truncated to kMaxChangeTextBytes.
   */
  std::string m_change;
  std::vector<ServiceSpec> m_updatedServices;
  std::vector<std::string> m_removedServices;
  /** Revision that the change is based on; if the store holds another one, the
   *  change fails with a conflict. If unset, it fails only if one of the
   *  changed services was modified since the request. */
  std::optional<Revision> m_expected;
};

/** Result of a ChangeRequest. */
struct ChangeResult
{
  std::uint64_t m_request = 0;
  std::string m_operationId{};
  /** Unset if the change was written to the store. */
  std::optional<ErrorKind> m_error{};
  /** Text of the error: the validation errors, or for a conflict the
   *  differences. */
  std::string m_detail{};
  Revision m_revision = 0;
  /** Whether every required host has confirmed the revision. */
  bool m_accepted = false;
  /** Required hosts that have not confirmed the revision. */
  std::vector<std::string> m_missingHosts{};
};

/** Maximum length of a change text in the audit trail. */
inline constexpr std::size_t kMaxChangeTextBytes = 300;
/** In characters. */
inline constexpr std::size_t kMaxOperationIdLength = 64;
/** Maximum size of the serialized configuration. The store accepts values of up
 *  to 1 MB. */
inline constexpr std::size_t kMaxDocumentBytes = 1000000;
/** A change whose write is still unconfirmed after this time is answered with
 *  an error; OutcomeUnknown if the write may have taken effect. */
inline constexpr Duration kChangeTimeout = std::chrono::seconds{ 30 };
/** A written change that is not accepted within this time is answered as
 *  pending. */
inline constexpr Duration kAcceptanceTimeout = std::chrono::seconds{ 5 };

/** Returns the differences between two sets of services, one line per field,
 *  such as "tender.policy.min_coverage: 0.9 -> 0.95". Long lists are truncated.
 */
std::string
DiffServices(const std::map<std::string, ServiceSpec>& aOld,
             const std::map<std::string, ServiceSpec>& aNew);

/** Validates a set of services. Returns all errors, including replica ids that
 *  several services use. */
std::vector<ValidationError>
ValidateServices(const std::map<std::string, ServiceSpec>& aServices);

} // namespace goldcrestkeel
