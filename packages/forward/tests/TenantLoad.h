#pragma once

#include "ForwardFleet.h"

#include <memory>
#include <vector>

namespace goldcrestkeel::testing {

/** Tenants whose callers send requests to a fleet. The rates are distributed as
 *  1 / rank ^ 1.2, and each tenant uses a few of the hosts. */
class TenantLoad
{
public:
  /** What the callers of a tenant do, and what they got. */
  struct Callers
  {
    double m_perSecond = 0;
    /** A refused request comes again after this time; 0: never. */
    Duration m_retryAfter{ 0 };
    /** Callers leave after this time; 0: never. */
    Duration m_leaveAfter{ 0 };

    std::uint64_t m_requests = 0;
    /** Answered within the target, and later. */
    std::uint64_t m_inTarget = 0;
    std::uint64_t m_late = 0;
    std::uint64_t m_refused = 0;
    Duration m_refusalTime{ 0 };
    std::uint64_t m_failed = 0;

    double ServedShare() const
    {
      return m_requests == 0 ? 1
                             : static_cast<double>(m_inTarget + m_late) /
                                 static_cast<double>(m_requests);
    }
    Callers& operator+=(const Callers& aOther);
  };

  /** aPriorities: tenants have priorities from 0 to this number less one, in
   *  turn. */
  static std::vector<Tenant> MakeTenants(std::size_t aCount,
                                         std::uint32_t aPriorities,
                                         double aPerSecond);

  /** The tenants with the rates that MakeTenants() was given. Without aIdentify
   *  the fleet does not learn the tenants of the requests. */
  TenantLoad(ForwardFleet& aFleet,
             const std::vector<Tenant>& aTenants,
             Duration aTarget,
             unsigned aSeed,
             bool aIdentify);

  void ResetOutcomes();
  Callers Sum() const;
  /** Sum of the tenants of a priority. */
  Callers SumOf(std::uint32_t aPriority) const;

  /** By tenant. */
  std::vector<Callers> m_callers;
  /** Multiplies the rates of all. */
  double m_factor = 1;

private:
  void Schedule(std::size_t aTenant);
  void Send(std::size_t aTenant);

  ForwardFleet& m_fleet;
  std::vector<Tenant> m_tenants;
  Duration m_target;
  bool m_identify;
  std::unique_ptr<RandomSource> m_random;
  std::vector<std::vector<std::size_t>> m_hosts;
};

} // namespace goldcrestkeel::testing
