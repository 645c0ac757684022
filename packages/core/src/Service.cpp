#include "Service.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Minimum capacity of the common bucket of a service, in tokens. */
constexpr double kServiceBurst = 10;
/** Tokens of a service reserved for retries. */
constexpr double kServiceReserve = 5;

} // namespace

ServiceHistory::ServiceHistory(const ServiceSpec& aSpec, std::size_t aMaxQueued)
  : m_hedgeName(aSpec.m_policy.m_hedge)
  , m_extraLoad(aSpec.m_policy.m_extraLoad)
  , m_hedge(MakeHedgePolicy(m_hedgeName, m_extraLoad))
  , m_budget(m_extraLoad,
             std::max(kServiceBurst,
                      m_extraLoad * static_cast<double>(aSpec.m_shards.size())),
             kServiceReserve)
  , m_admission(aMaxQueued)
{
}

ExtraLoadBudget&
ServiceHistory::ShardBudget(const std::string& aShard)
{
  return m_shardBudgets
    .try_emplace(
      aShard, kShardBudgetFactor * m_extraLoad, kShardBurst, kShardReserve)
    .first->second;
}

} // namespace goldcrestkeel
