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

/** Sends a probe; ProbeReplied or ProbeFailed follows. */
struct SendProbe
{
  ProbeId m_probe = 0;
  std::string m_host;
  std::string m_address;
  GossipMessage m_message;
  /** Address to probe on behalf of this host; empty for a direct probe. */
  std::string m_target;
};

/** Answers a probe received as request m_request. */
struct AnswerProbe
{
  std::uint64_t m_request = 0;
  GossipMessage m_message;
  /** Set for an indirect probe. */
  std::optional<bool> m_targetAlive;
};

/** Asks for a probe of m_host outside the schedule. Handled by ControlNode. */
struct ProbeHost
{
  std::string m_host;
};

/** The number of live hosts, this one included, has changed. */
struct LiveHostsChanged
{
  std::uint32_t m_liveHosts = 0;
};

/** Suspects that were not known here. */
struct SuspectReportsReceived
{
  std::vector<SuspectReport> m_reports;
};

/** Replicas that another host has seen draining. */
struct DrainNoticesReceived
{
  std::vector<DrainNotice> m_notices;
};

/** Calls the store; StoreReplied with the same token follows. */
struct SendStoreCall
{
  StoreToken m_token = 0;
  StoreCall m_call;
};

/** Sends the document to m_host; PushFinished follows. */
struct PushDocument
{
  std::string m_host;
  std::string m_address;
  Revision m_revision = 0;
  std::shared_ptr<const std::string> m_document;
};

/** Asks m_host for its document; FetchFinished follows. */
struct FetchDocument
{
  std::string m_host;
  std::string m_address;
  Revision m_knownRevision = 0;
};

/** m_configuration is now in force on this host. */
struct ConfigurationActivated
{
  std::shared_ptr<const Configuration> m_configuration;
};

/** Answers the change m_result.m_request. */
struct ChangeAnswered
{
  ChangeResult m_result;
};

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
