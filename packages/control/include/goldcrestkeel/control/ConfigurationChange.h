#pragma once

#include <goldcrestkeel/control/Configuration.h>
#include <goldcrestkeel/core/Errors.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** A change that an operator asks for. Services in m_updatedServices replace
 * those of the same name; those in m_removedServices are removed. */
struct ChangeRequest
{
  /** Chosen by the caller of the manager; returned with the answer. */
  std::uint64_t m_request = 0;
  /** Chosen by the operator's client; the same id is the same change. */
  std::string m_operationId;
  std::string m_operator;
  std::string m_from;
  WallTime m_changedAt = 0;
  /** Text of the change for the audit trail, cut to kMaxChangeTextBytes. */
  std::string m_change;
  std::vector<ServiceSpec> m_updatedServices;
  std::vector<std::string> m_removedServices;
  /** Revision that the operator saw; any other one is a conflict. If it is not
   *  set, only a change to the same service since the request is one. */
  std::optional<Revision> m_expected;
};

/** Answer to a change. */
struct ChangeResult
{
  std::uint64_t m_request = 0;
  std::string m_operationId{};
  /** Nothing if the change is written. */
  std::optional<ErrorKind> m_error{};
  /** Faults, or the diff of a conflict. */
  std::string m_detail{};
  Revision m_revision = 0;
  /** All required hosts have the revision in force. */
  bool m_accepted = false;
  /** Hosts that have not confirmed the revision. */
  std::vector<std::string> m_missing{};
};

/** Longest change text in the audit trail, in bytes. */
inline constexpr std::size_t kMaxChangeTextBytes = 300;
inline constexpr std::size_t kMaxOperationIdLength = 64;
/** The store holds values up to 1 MB. */
inline constexpr std::size_t kMaxDocumentBytes = 1000000;
/** Longest time for which an operator waits for a write whose reply is lost. */
inline constexpr Duration kChangeTimeout = std::chrono::seconds{ 30 };
/** Longest wait for acceptance before the answer is "pending". */
inline constexpr Duration kAcceptanceTimeout = std::chrono::seconds{ 5 };

/** Differences between two versions of a service, one line a field:
 *  "tender.policy.min_coverage: 0.9 -> 0.95". */
std::string
DiffServices(const std::map<std::string, ServiceSpec>& aOld,
             const std::map<std::string, ServiceSpec>& aNew);

/** All faults of a list of services, including ids used by two of them. */
std::vector<ValidationError>
ValidateServices(const std::map<std::string, ServiceSpec>& aServices);

} // namespace goldcrestkeel
