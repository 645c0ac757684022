#pragma once

#include <goldcrestkeel/control/ConfigurationChange.h>
#include <goldcrestkeel/control/Store.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace goldcrestkeel {

/** Store key of the configuration document. */
inline constexpr const char* kConfigurationKey = "goldcrestkeel/config";

/** Writes one change to the store: reads the document, applies the change, and
 *  writes it together with its audit entry by one compare-and-swap. If the
 *  reply to a write is lost, the outcome is determined before the change ends:
 *  the document is read back and searched for the operation id. The write is
 *  sent again only while the index of the key is the one that the write names,
 *  so that at most one copy can take effect. */
class ChangeCommit
{
public:
  /** Next step: either a store call after a delay, or the final result. */
  struct Step
  {
    std::optional<StoreCall> m_call;
    Duration m_delay{ 0 };
    std::optional<ChangeResult> m_result;
    /** Configuration that contains the successful change, as written or read by
     *  this commit. */
    std::shared_ptr<const Configuration> m_document;
  };

  /** aKnown is the configuration that this host uses; the operator based the
   *  change on it. */
  ChangeCommit(ChangeRequest aRequest, const Configuration& aKnown);

  /** Validates the request and returns the first read. */
  Step Start();
  /** Handles the result of the last call that a step requested. */
  Step Handle(const StoreResult& aResult);
  /** Result for a change that has to be answered before its outcome is
   *  determined. */
  ChangeResult UnresolvedResult() const;
  const ChangeRequest& Request() const { return m_request; }

private:
  using Services = std::map<std::string, ServiceSpec>;

  Step Read(Duration aDelay);
  Step Write();
  Step HandleReadResult(const StoreResult& aResult);
  Step HandleWriteResult(const StoreResult& aResult);
  /** Checks for a conflict, applies the change and returns the write. */
  Step PrepareWrite(const Configuration& aStored);
  Step Fail(ErrorKind aKind, const std::string& aDetail);
  Step Succeed(const AuditEntry& aEntry, const Configuration& aStored);
  /** Returns the text of the conflict with aStored, if there is one. */
  std::optional<std::string> DetectConflict(const Configuration& aStored);
  /** Returns the failure if the changed configuration would be invalid. */
  std::optional<Step> Apply(Configuration& aTarget);
  /** Sets m_document. Returns the failure if the document is too large. */
  std::optional<Step> SerializeBounded(Configuration& aTarget);
  /** The services of aServices that the request names. */
  Services ChangedServices(const Services& aServices) const;

  ChangeRequest m_request;
  /** The services to be changed, as the operator saw them. */
  std::optional<Services> m_baseServices;
  Configuration m_target;
  std::string m_document;
  /** Store index that the write names. */
  std::uint64_t m_index = 0;
  bool m_writing = false;
  /** Whether a write with m_index may still take effect. */
  bool m_inDoubt = false;
  /** Number of writes that failed because another one came first. */
  int m_conflicts = 0;
};

} // namespace goldcrestkeel
