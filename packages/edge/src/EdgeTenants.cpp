#include "EdgeServerImpl.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Further faults of a version of the table are counted, but not named. */
constexpr std::size_t kMaxNamedFaults = 20;

} // namespace

std::optional<CallerIdentity>
EdgeServer::Impl::Identify(CallerSession& aSession,
                           const RequestMessage& aRequest,
                           const Route& aRoute)
{
  const bool fromHost = aSession.Peer() == SessionPeer::Host;
  const CallerIdentity identity =
    fromHost ? IdentifyRelay(aRequest.m_fields, m_names, *m_table, aRoute)
             : IdentifyCaller(aRequest.m_fields, m_names, *m_table, aRoute);
  if (identity.m_state == IdentityState::Accepted) {
    return identity;
  }
  if (!fromHost) {
    m_metrics.CountUnauthorized();
  }
  ReplyError(aSession,
             aRequest,
             fromHost ? ErrorKind::NotReady : ErrorKind::Unauthorized,
             std::string(NameOf(identity.m_state)),
             std::nullopt);
  return std::nullopt;
}

void
EdgeServer::Impl::LogTenantFaults(const RoutingTable& aTable)
{
  std::vector<std::string> faults = aTable.m_tenantFaults;
  const std::vector<std::string> regions =
    FindUnknownRegions(aTable, m_settings.m_regions);
  faults.insert(faults.end(), regions.begin(), regions.end());
  if (faults.empty()) {
    return;
  }
  std::string reasons;
  for (std::size_t i = 0; i < std::min(faults.size(), kMaxNamedFaults); ++i) {
    reasons.append(i == 0 ? "" : "; ").append(faults[i]);
  }
  m_log.Write(
    LogPriority::Process,
    "tenants_invalid",
    { { "version", static_cast<std::int64_t>(aTable.m_version) },
      { "tenants", static_cast<std::int64_t>(aTable.m_tenants.size()) },
      { "faults", static_cast<std::int64_t>(faults.size()) },
      { "reasons", std::string_view(reasons) } });
}

} // namespace goldcrestkeel
