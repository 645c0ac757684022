#include "TenantLoad.h"

#include <algorithm>
#include <cmath>

namespace goldcrestkeel::testing {

namespace {

/** Exponent of the distribution of the rates. */
constexpr double kExponent = 1.2;
/** Rate limits are this multiple of the usual rates. */
constexpr double kLimitRatio = 1.6;
/** Hosts that a tenant uses: this many and one for each kRatePerHost. */
constexpr std::size_t kMinHosts = 2;
constexpr double kRatePerHost = 8;

} // namespace

TenantLoad::Callers&
TenantLoad::Callers::operator+=(const Callers& aOther)
{
  m_requests += aOther.m_requests;
  m_inTarget += aOther.m_inTarget;
  m_late += aOther.m_late;
  m_refused += aOther.m_refused;
  m_refusalTime += aOther.m_refusalTime;
  m_failed += aOther.m_failed;
  return *this;
}

std::vector<Tenant>
TenantLoad::MakeTenants(std::size_t aCount,
                        std::uint32_t aPriorities,
                        double aPerSecond)
{
  double sum = 0;
  for (std::size_t i = 0; i < aCount; ++i) {
    sum += std::pow(i + 1, -kExponent);
  }
  std::vector<Tenant> tenants;
  for (std::size_t i = 0; i < aCount; ++i) {
    Tenant tenant;
    tenant.m_name = "t" + std::to_string(i);
    tenant.m_priority = static_cast<std::uint32_t>(i % aPriorities);
    tenant.m_ratePerSecond =
      kLimitRatio * aPerSecond * std::pow(i + 1, -kExponent) / sum;
    tenants.push_back(tenant);
  }
  return tenants;
}

TenantLoad::TenantLoad(ForwardFleet& aFleet,
                       const std::vector<Tenant>& aTenants,
                       Duration aTarget,
                       unsigned aSeed,
                       bool aIdentify)
  : m_fleet(aFleet)
  , m_tenants(aTenants)
  , m_target(aTarget)
  , m_identify(aIdentify)
  , m_random(MakeSeededRandom(aSeed))
{
  for (std::size_t i = 0; i < aTenants.size(); ++i) {
    Callers callers;
    callers.m_perSecond = aTenants[i].m_ratePerSecond / kLimitRatio;
    m_callers.push_back(callers);
    const std::size_t hosts = std::min(
      m_fleet.size(),
      kMinHosts + static_cast<std::size_t>(callers.m_perSecond / kRatePerHost));
    m_hosts.emplace_back();
    for (std::size_t k = 0; k < hosts; ++k) {
      m_hosts.back().push_back(m_random->Below(m_fleet.size()));
    }
  }
  for (std::size_t i = 0; i < aTenants.size(); ++i) {
    Schedule(i);
  }
}

void
TenantLoad::Schedule(std::size_t aTenant)
{
  // Poisson arrivals.
  const double seconds = -std::log(1 - m_random->Unit()) /
                         (m_callers[aTenant].m_perSecond * m_factor);
  // Changes of the rate apply within this time.
  const double step = std::min(seconds, 0.5);
  m_fleet.Events().After(Duration(static_cast<Duration::rep>(step * 1e6)),
                         [this, aTenant, arrives = step == seconds] {
                           if (arrives) {
                             Send(aTenant);
                           }
                           Schedule(aTenant);
                         });
}

void
TenantLoad::Send(std::size_t aTenant)
{
  const auto& hosts = m_hosts[aTenant];
  const std::size_t host = hosts[m_random->Below(hosts.size())];
  const TimePoint start = m_fleet.Now();
  const auto ended = std::make_shared<bool>(false);
  const auto done =
    [this, aTenant, start, ended](const ForwardResult& aResult) {
      *ended = true;
      Callers& callers = m_callers[aTenant];
      const Duration age = m_fleet.Now() - start;
      if (!aResult.m_error) {
        ++(age <= m_target ? callers.m_inTarget : callers.m_late);
      } else if (!aResult.m_retryAfter) {
        ++callers.m_failed;
      } else {
        ++callers.m_refused;
        callers.m_refusalTime += age;
        if (callers.m_retryAfter > Duration(0)) {
          m_fleet.Events().After(callers.m_retryAfter,
                                 [this, aTenant] { Send(aTenant); });
        }
      }
    };
  ++m_callers[aTenant].m_requests;
  const Tenant* const tenant =
    m_identify ? m_fleet.Table().FindTenant(m_tenants[aTenant].m_name)
               : nullptr;
  const ForwardId id = m_fleet.Start(host, tenant, done);
  const Duration leaveAfter = m_callers[aTenant].m_leaveAfter;
  if (leaveAfter > Duration(0)) {
    m_fleet.Events().After(leaveAfter, [this, host, id, ended, aTenant] {
      if (!*ended) {
        m_fleet.Cancel(host, id);
        Send(aTenant);
      }
    });
  }
}

void
TenantLoad::ResetOutcomes()
{
  for (Callers& callers : m_callers) {
    Callers fresh;
    fresh.m_perSecond = callers.m_perSecond;
    fresh.m_retryAfter = callers.m_retryAfter;
    fresh.m_leaveAfter = callers.m_leaveAfter;
    callers = fresh;
  }
}

TenantLoad::Callers
TenantLoad::Sum() const
{
  Callers sum;
  for (const Callers& callers : m_callers) {
    sum += callers;
  }
  return sum;
}

TenantLoad::Callers
TenantLoad::SumOf(std::uint32_t aPriority) const
{
  Callers sum;
  for (std::size_t i = 0; i < m_callers.size(); ++i) {
    if (m_tenants[i].m_priority == aPriority) {
      sum += m_callers[i];
    }
  }
  return sum;
}

} // namespace goldcrestkeel::testing
