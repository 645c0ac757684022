#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** A tenant: callers that share keys, a priority and a rate limit. */
struct Tenant
{
  /** Not empty; unique within a routing table. */
  std::string m_name;
  /** Secrets by which callers identify as this tenant. Never logged. */
  std::vector<std::string> m_keys;
  /** Takes precedence over the priority of the route. */
  std::optional<std::uint32_t> m_priority;
  /** Regions whose replicas may serve the tenant; empty for all. */
  std::vector<std::string> m_allowedRegions;
  /** Rate limit over all entry hosts together, in requests a second; 0 for
   *  none. */
  double m_ratePerSecond = 0;
  /** Requests beyond the rate that may come at once. */
  double m_burst = 0;

  bool HasRateLimit() const { return m_ratePerSecond > 0; }
  bool operator==(const Tenant&) const = default;
};

} // namespace goldcrestkeel
