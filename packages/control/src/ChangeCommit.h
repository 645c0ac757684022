#pragma once

#include <goldcrestkeel/control/ConfigurationChange.h>
#include <goldcrestkeel/control/Store.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace goldcrestkeel {

/** Key under which the store holds the configuration. */
inline constexpr const char* kConfigurationKey = "goldcrestkeel/config";

/** Writes one change: reads the document, applies the change, and writes it
 *  with its audit entry by one compare-and-swap. A write whose reply is lost is
 *  resolved before the change ends: the operation id is read back; the write is
 *  sent again only while the key's index is the one that it names, so that at
 *  most one copy can take effect. */
class ChangeCommit
{
public:
  /** What to do next: a call after a delay, or the end. */
  struct Step
  {
    std::optional<StoreCall> m_call;
    Duration m_delay{ 0 };
    std::optional<ChangeResult> m_result;
    /** Document of a successful change, if this commit wrote or read it. */
    std::shared_ptr<const Configuration> m_document;
  };

  /** aKnown is the configuration in force on this host: what the operator could
   *  see. */
  ChangeCommit(ChangeRequest aRequest, const Configuration& aKnown);

  Step Begin();
  Step Handle(const StoreResult& aResult);
  /** The result if the change has to be answered before it is resolved. */
  ChangeResult Unresolved() const;
  const ChangeRequest& Request() const { return m_request; }

private:
  using Services = std::map<std::string, ServiceSpec>;

  Step Read(Duration aDelay);
  Step Write();
  Step HandleRead(const StoreResult& aResult);
  Step HandleWritten(const StoreResult& aResult);
  Step Evaluate(const Configuration& aStored);
  Step Fail(ErrorKind aKind, const std::string& aDetail);
  Step Succeed(const AuditEntry& aEntry, const Configuration& aStored);
  std::optional<std::string> Conflict(const Configuration& aStored);
  std::optional<Step> Apply(Configuration& aTarget);
  std::optional<Step> SerializeBounded(Configuration& aTarget);
  Services Touched(const Services& aServices) const;

  ChangeRequest m_request;
  /** The touched services as the operator saw them. */
  std::optional<Services> m_base;
  Configuration m_target;
  std::string m_document;
  std::uint64_t m_index = 0;
  bool m_writing = false;
  /** A write with m_index may still take effect. */
  bool m_inDoubt = false;
  int m_conflicts = 0;
};

} // namespace goldcrestkeel
