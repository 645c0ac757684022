#include <goldcrestkeel/forward/RoutingTable.h>

#include <algorithm>
#include <cctype>

namespace goldcrestkeel {

namespace {

std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return host;
}

} // namespace

void
RoutingTable::Index()
{
  m_byHost.clear();
  for (std::size_t i = 0; i < m_routes.size(); ++i) {
    m_byHost[NormalizeHost(m_routes[i].m_host)].push_back(i);
  }
  for (auto& [host, indexes] : m_byHost) {
    std::stable_sort(indexes.begin(),
                     indexes.end(),
                     [&](std::size_t aLeft, std::size_t aRight) {
                       return m_routes[aLeft].m_pathPrefix.size() >
                              m_routes[aRight].m_pathPrefix.size();
                     });
  }
  m_tenantByName.clear();
  m_tenantKeys.Clear();
  for (std::size_t i = 0; i < m_tenants.size(); ++i) {
    m_tenantByName.emplace(m_tenants[i].m_name, i);
    for (const std::string& key : m_tenants[i].m_keys) {
      m_tenantKeys.Add(key, i);
    }
  }
}

const Route*
RoutingTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto host = m_byHost.find(NormalizeHost(aHost));
  if (host == m_byHost.end()) {
    return nullptr;
  }
  for (const std::size_t index : host->second) {
    if (aPath.starts_with(m_routes[index].m_pathPrefix)) {
      return &m_routes[index];
    }
  }
  return nullptr;
}

const Tenant*
RoutingTable::FindTenantByKey(std::string_view aKey) const
{
  const auto index = m_tenantKeys.Find(aKey);
  return index ? &m_tenants[*index] : nullptr;
}

const Tenant*
RoutingTable::FindTenant(std::string_view aName) const
{
  const auto found = m_tenantByName.find(std::string(aName));
  return found == m_tenantByName.end() ? nullptr : &m_tenants[found->second];
}

} // namespace goldcrestkeel
