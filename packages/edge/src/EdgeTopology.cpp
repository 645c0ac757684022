#include "EdgeServerImpl.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** One host that has joined since the last count is assumed for every this many
 *  counted hosts. */
constexpr std::uint32_t kCountedHostsPerJoining = 5;

} // namespace

double
EdgeServer::Impl::MillisecondsSince(
  std::optional<TimePoint> aChangedAfter) const
{
  return aChangedAfter ? (m_loop.Now() - *aChangedAfter).count() / 1000.0 : -1;
}

void
EdgeServer::Impl::OnRoutingTable(std::shared_ptr<const RoutingTable> aTable)
{
  if (m_table && aTable->m_version <= m_table->m_version) {
    return;
  }
  m_log.Write(
    LogPriority::Process,
    "table_in_force",
    { { "version", static_cast<std::int64_t>(aTable->m_version) },
      { "routes", static_cast<std::int64_t>(aTable->m_routes.size()) } });
  LogTenantFaults(*aTable);
  m_table = std::move(aTable);
  m_forwarder->SetTable(m_loop.Now(), m_table);
  m_rateLimits.SetTenants(m_table->m_tenants);
}

void
EdgeServer::Impl::OnReplica(const ReplicaRecord& aReplica,
                            std::optional<TimePoint> aChangedAfter)
{
  m_log.Write(LogPriority::Request,
              "replica_listed",
              { { "replica", std::string_view(aReplica.m_id) },
                { "service", std::string_view(aReplica.m_service) },
                { "address", std::string_view(aReplica.m_address) },
                { "draining", aReplica.m_draining },
                { "max_age_ms", MillisecondsSince(aChangedAfter) } });
  m_forwarder->UpdateReplica(m_loop.Now(), aReplica, aChangedAfter);
  ArmForwardTimer();
}

void
EdgeServer::Impl::OnReplicaRemoved(const std::string& aId,
                                   std::optional<TimePoint> aChangedAfter)
{
  m_log.Write(LogPriority::Request,
              "replica_gone",
              { { "replica", std::string_view(aId) },
                { "max_age_ms", MillisecondsSince(aChangedAfter) } });
  m_forwarder->RemoveReplica(m_loop.Now(), aId, aChangedAfter);
}

void
EdgeServer::Impl::OnReplicaListComplete()
{
  m_replicasListed = true;
}

void
EdgeServer::Impl::OnHosts(const std::vector<HostRecord>& aHosts)
{
  m_log.Write(LogPriority::Process,
              "live_hosts",
              { { "hosts", static_cast<std::int64_t>(aHosts.size()) } });
  // This host may not be listed yet.
  m_liveHosts = std::max(1U, static_cast<std::uint32_t>(aHosts.size()));
  // Hosts that have just started may not be counted yet. The first count of a
  // host that starts along with the others finds only a few of them.
  const std::uint32_t estimate =
    m_hostsCounted ? m_liveHosts : std::max(m_liveHosts, kAssumedLiveHosts);
  m_hostsCounted = true;
  m_forwarder->SetLiveHosts(estimate + estimate / kCountedHostsPerJoining);
  m_forwarder->SetHosts(m_loop.Now(), aHosts);
  m_crashReporter.SetHosts(aHosts);
  m_rateLimits.SetHosts(aHosts);
}

void
EdgeServer::Impl::OnEvacuations(const std::set<std::string>& aDataCentres)
{
  m_forwarder->SetEvacuated(m_loop.Now(), aDataCentres);
}

} // namespace goldcrestkeel
