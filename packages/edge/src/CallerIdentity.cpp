#include "CallerIdentity.h"

#include <algorithm>
#include <array>
#include <set>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, 4> kReasons{
  "",
  "the route needs a key",
  "the key is unknown",
  "the tenant is not in this version of the routing table"
};

std::string_view
TrimLeft(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \t");
  return first == std::string_view::npos ? std::string_view()
                                         : aText.substr(first);
}

// The key after the scheme; empty if aValue is not of that form.
std::string_view
KeyOf(std::string_view aValue, std::string_view aScheme)
{
  const std::size_t space = aValue.find_first_of(" \t");
  return space == std::string_view::npos ||
             !EqualsIgnoreCase(aValue.substr(0, space), aScheme)
           ? std::string_view()
           : TrimLeft(aValue.substr(space));
}

std::vector<std::string_view>
ValuesOf(const std::vector<HeaderField>& aFields, std::string_view aName)
{
  std::vector<std::string_view> values;
  for (const auto& [name, value] : aFields) {
    if (EqualsIgnoreCase(name, aName)) {
      values.push_back(value);
    }
  }
  return values;
}

} // namespace

std::string_view
NameOf(IdentityState aState)
{
  return kReasons.at(static_cast<std::size_t>(aState));
}

CallerIdentity
IdentifyCaller(const std::vector<HeaderField>& aFields,
               const EdgeFieldNames& aNames,
               const RoutingTable& aTable,
               const Route& aRoute)
{
  if (!aTable.m_hasTenants) {
    return {};
  }
  const auto values = ValuesOf(aFields, aNames.m_key);
  // With several keys it would depend on the reader who the caller is.
  const Tenant* const tenant =
    values.size() == 1
      ? aTable.FindTenantByKey(KeyOf(values.front(), aNames.m_keyScheme))
      : nullptr;
  if (tenant || aRoute.m_public) {
    return { IdentityState::Accepted, tenant };
  }
  return { values.empty() ? IdentityState::NoKey : IdentityState::UnknownKey };
}

CallerIdentity
IdentifyRelay(const std::vector<HeaderField>& aFields,
              const EdgeFieldNames& aNames,
              const RoutingTable& aTable,
              const Route& aRoute)
{
  if (!aTable.m_hasTenants) {
    return {};
  }
  const auto values = ValuesOf(aFields, aNames.m_tenant);
  const Tenant* const tenant =
    values.size() == 1 ? aTable.FindTenant(values.front()) : nullptr;
  const bool accepted = tenant || (values.empty() && aRoute.m_public);
  return { accepted ? IdentityState::Accepted : IdentityState::UnknownTenant,
           tenant };
}

IdentityFields
IdentityFieldsOf(const RoutingTable& aTable, const CallerIdentity& aIdentity)
{
  return { aTable.m_hasTenants,
           aIdentity.m_tenant ? aIdentity.m_tenant->m_name : std::string() };
}

std::vector<std::string>
FindUnknownRegions(const RoutingTable& aTable,
                   const std::map<std::string, std::string>& aRegions)
{
  std::set<std::string_view> known;
  for (const auto& [dataCentre, region] : aRegions) {
    known.insert(region);
  }
  std::vector<std::string> faults;
  const auto check = [&](const char* aKind,
                         const std::string& aName,
                         const std::vector<std::string>& aAllowed) {
    for (const std::string& region : aAllowed) {
      if (!known.contains(region)) {
        faults.push_back(std::string(aKind) + aName + ": unknown region \"" +
                         region + "\"");
      }
    }
  };
  for (const Tenant& tenant : aTable.m_tenants) {
    check("tenant ", tenant.m_name, tenant.m_allowedRegions);
  }
  for (const Route& route : aTable.m_routes) {
    check("route ", route.m_name, route.m_allowedRegions);
  }
  return faults;
}

} // namespace goldcrestkeel
