#include "RateLimitFleet.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace goldcrestkeel::testing {

namespace {

/** The bound of docs/tenants-and-overload.md, section 3.2. */
constexpr Duration kWindow = 5s;
constexpr double kOvershoot = 1.1;
constexpr double kSlack = 20;

} // namespace

void
RateLimitFleet::ResetCounts()
{
  m_messages = 0;
  for (TenantLoad& tenant : m_tenants) {
    tenant.m_admitted.clear();
    tenant.m_arrived = 0;
    tenant.m_refused = 0;
    tenant.m_refusedByLimit = 0;
  }
}

double
RateLimitFleet::UsedBound(const TenantLoad& aTenant,
                          const RateLimit& aLimit) const
{
  const double bound =
    (aLimit.m_rate * 5 + aLimit.m_burst) * kOvershoot + kSlack;
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < aTenant.m_admitted.size(); ++last) {
    while (aTenant.m_admitted[last] - aTenant.m_admitted[first] > kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<double>(most) / bound;
}

double
RateLimitFleet::LargestUsedBound() const
{
  double largest = 0;
  for (const TenantLoad& tenant : m_tenants) {
    largest = std::max(largest, UsedBound(tenant, tenant.m_limit));
  }
  return largest;
}

double
RateLimitFleet::RefusedBelowLimit() const
{
  std::uint64_t arrived = 0;
  std::uint64_t refused = 0;
  for (const TenantLoad& tenant : m_tenants) {
    arrived += tenant.m_arrived;
    refused +=
      tenant.m_refused - std::min(tenant.m_refused, tenant.m_refusedByLimit);
  }
  return arrived == 0
           ? 0
           : static_cast<double>(refused) / static_cast<double>(arrived);
}

} // namespace goldcrestkeel::testing
