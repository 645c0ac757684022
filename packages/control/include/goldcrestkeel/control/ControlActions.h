#pragma once

#include <goldcrestkeel/control/ConfigurationChange.h>
#include <goldcrestkeel/control/Membership.h>
#include <goldcrestkeel/control/Store.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace goldcrestkeel {

using ProbeId = std::uint64_t;
using StoreToken = std::uint64_t;

/** Sends a probe to m_host; MembershipTable::ProbeReplied() or ProbeFailed()
 *  reports the outcome. */
struct SendProbe
{
  ProbeId m_probe = 0;
  std::string m_host;
  std::string m_address;
  GossipMessage m_message;
  /** For an indirect probe, the address that m_host is to probe; empty for a
   *  direct probe. */
  std::string m_target;
};

/** Replies to the probe that was received as request m_request. */
struct AnswerProbe
{
  std::uint64_t m_request = 0;
  GossipMessage m_message;
  /** Whether the target of an indirect probe replied; unset for a direct probe.
   */
  std::optional<bool> m_targetAlive;
};

/** Requests a probe of m_host outside the schedule. ControlNode handles this
 *  action itself and does not pass it on. */
struct ProbeHost
{
  std::string m_host;
};

/** Reports that the number of live hosts has changed. */
struct LiveHostsChanged
{
  /** Includes this host. */
  std::uint32_t m_liveHosts = 0;
};

/** Reports on suspect statements, received from a peer, that are new or newer
 *  than those known here. */
struct SuspectReportsReceived
{
  std::vector<SuspectReport> m_reports;
};

/** Drain notices, received from a peer, that are new or newer than those known
 *  here. */
struct DrainNoticesReceived
{
  std::vector<DrainNotice> m_notices;
};

/** Sends a call to the store; ConfigurationManager::StoreReplied() with the
 *  same token reports the result. */
struct SendStoreCall
{
  StoreToken m_token = 0;
  StoreCall m_call;
};

/** Sends the configuration document to m_host;
 *  ConfigurationManager::PushFinished() reports the outcome. */
struct PushDocument
{
  std::string m_host;
  std::string m_address;
  Revision m_revision = 0;
  std::shared_ptr<const std::string> m_document;
};

/** Requests the configuration document of m_host;
 *  ConfigurationManager::FetchFinished() reports the outcome. */
struct FetchDocument
{
  std::string m_host;
  std::string m_address;
  /** Revision of this host. m_host sends its document only if it is newer. */
  Revision m_knownRevision = 0;
};

/** Reports that this host now uses m_configuration. */
struct ConfigurationActivated
{
  std::shared_ptr<const Configuration> m_configuration;
};

/** Sends the result of the change m_result.m_request to its caller. */
struct ChangeAnswered
{
  ChangeResult m_result;
};

/** An action for the event loop, returned by MembershipTable and
 *  ConfigurationManager, which do no input or output themselves. */
using ControlAction = std::variant<SendProbe,
                                   AnswerProbe,
                                   ProbeHost,
                                   LiveHostsChanged,
                                   SuspectReportsReceived,
                                   DrainNoticesReceived,
                                   SendStoreCall,
                                   PushDocument,
                                   FetchDocument,
                                   ConfigurationActivated,
                                   ChangeAnswered>;
using ControlActions = std::vector<ControlAction>;

} // namespace goldcrestkeel
