#pragma once

#include <goldcrestkeel/edge/FieldNames.h>
#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/forward/RoutingTable.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Whether a request may be served, and for whom. */
enum class IdentityState
{
  Accepted,
  /** The route needs a key, and the request has none. */
  NoKey,
  /** The key belongs to no tenant, or the request has more than one. */
  UnknownKey,
  /** Another host relayed the request for a tenant that the table lacks, or
   *  for none although the route needs one. */
  UnknownTenant,
};

/** The reason for a refusal, in words; empty if the request is accepted. */
std::string_view
NameOf(IdentityState aState);

/** For whom a request is served. */
struct CallerIdentity
{
  IdentityState m_state = IdentityState::Accepted;
  /** Owned by the table; nullptr if the caller is no tenant. */
  const Tenant* m_tenant = nullptr;
};

/** Identifies a caller by the key in aFields. The tenant field of a caller has
 *  no effect. */
CallerIdentity
IdentifyCaller(const std::vector<HeaderField>& aFields,
               const EdgeFieldNames& aNames,
               const RoutingTable& aTable,
               const Route& aRoute);

/** Identifies the tenant that another entry host has relayed a request for, by
 *  its name in aFields. A key has no effect. */
CallerIdentity
IdentifyRelay(const std::vector<HeaderField>& aFields,
              const EdgeFieldNames& aNames,
              const RoutingTable& aTable,
              const Route& aRoute);

/** What becomes of the key and tenant fields in a copy of a request. */
struct IdentityFields
{
  /** Both are removed; otherwise they pass unchanged. */
  bool m_replace = false;
  /** Value of the new tenant field; empty for none. */
  std::string m_tenant;
};

/** The fields of a request that was identified as aIdentity by aTable. */
IdentityFields
IdentityFieldsOf(const RoutingTable& aTable, const CallerIdentity& aIdentity);

/** Regions that tenants or routes of aTable may be served in and that are not
 *  in aRegions, the region of each data centre; as reasons for the log. */
std::vector<std::string>
FindUnknownRegions(const RoutingTable& aTable,
                   const std::map<std::string, std::string>& aRegions);

} // namespace goldcrestkeel
