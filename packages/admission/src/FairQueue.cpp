#include <goldcrestkeel/admission/FairQueue.h>

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** Time constant with which served work is forgotten. Long enough that leaving
 *  and returning within a request's deadline brings nothing, short enough that
 *  a burst into idle capacity is not held against the tenant for long. */
constexpr double kServiceTimeConstantUs = 2e6;
/** Least usual demand that is assumed, in requests a second: one request of a
 *  rare tenant must not count as many times its share. */
constexpr double kMinDemand = 1;
/** Demand counts up to this multiple of what was served, so that requests that
 *  are refused and repeated at once do not raise the weight. */
constexpr std::uint32_t kMaxDemandOverServed = 2;
/** The usual demand is the median of time slices of this length, so that bursts
 *  of up to 40 s do not change it. */
constexpr Duration kSlice{ 10000000 };
/** Tenants without a request for this time are forgotten. */
constexpr Duration kIdleTime{ 600000000 };
constexpr double kMicrosecondsPerSecond = 1e6;

double
Decay(Duration aAge, double aTimeConstantUs)
{
  return std::exp(-static_cast<double>(aAge.count()) / aTimeConstantUs);
}

} // namespace

std::map<FairQueue::Place, WaitingRequest>::const_iterator
FairQueue::Flow::First(std::uint64_t aPass) const
{
  return m_pass == aPass ? m_waiting.upper_bound(m_skipped) : m_waiting.begin();
}

FairQueue::Usage&
FairQueue::UsageOf(TimePoint aNow, const std::string& aTenant)
{
  EraseIdleUsage(aNow);
  const auto [found, added] = m_usage.try_emplace(aTenant);
  Usage& usage = found->second;
  if (added) {
    usage.m_sliceAt = aNow;
  }
  usage.m_served *= Decay(aNow - usage.m_servedAt, kServiceTimeConstantUs);
  usage.m_servedAt = aNow;
  for (; aNow - usage.m_sliceAt >= kSlice; usage.m_sliceAt += kSlice) {
    usage.m_slices[usage.m_sliceCount++ % usage.m_slices.size()] =
      std::min(usage.m_sliceDemand, kMaxDemandOverServed * usage.m_sliceServed);
    usage.m_sliceDemand = 0;
    usage.m_sliceServed = 0;
  }
  return usage;
}

void
FairQueue::CountDemand(TimePoint aNow,
                       const std::string& aTenant,
                       double aRateLimit)
{
  if (!m_sharing) {
    return;
  }
  Usage& usage = UsageOf(aNow, aTenant);
  ++usage.m_sliceDemand;
  usage.m_rateLimit = aRateLimit;
}

void
FairQueue::CountServed(TimePoint aNow, const std::string& aTenant)
{
  if (!m_sharing) {
    return;
  }
  Usage& usage = UsageOf(aNow, aTenant);
  usage.m_served += 1;
  ++usage.m_sliceServed;
}

void
FairQueue::CountNotRun(TimePoint aNow, const std::string& aTenant)
{
  if (!m_sharing) {
    return;
  }
  Usage& usage = UsageOf(aNow, aTenant);
  usage.m_served = std::max(0.0, usage.m_served - 1);
  usage.m_sliceServed = std::max(1U, usage.m_sliceServed) - 1;
}

void
FairQueue::EraseIdleUsage(TimePoint aNow)
{
  if (aNow - m_usageErasedAt < kSlice) {
    return;
  }
  m_usageErasedAt = aNow;
  std::erase_if(m_usage, [&](const auto& aItem) {
    return aNow - aItem.second.m_servedAt > kIdleTime;
  });
}

double
FairQueue::DemandOf(const Usage& aUsage)
{
  const std::size_t count =
    std::min<std::size_t>(aUsage.m_sliceCount, aUsage.m_slices.size());
  // A tenant is new until its first slice ends.
  double requests = aUsage.m_sliceDemand;
  if (count > 0) {
    auto slices = aUsage.m_slices;
    const auto middle = slices.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(slices.begin(),
                     middle,
                     slices.begin() + static_cast<std::ptrdiff_t>(count));
    requests = *middle;
  }
  const double perSecond =
    requests * kMicrosecondsPerSecond / static_cast<double>(kSlice.count());
  const double limited = aUsage.m_rateLimit > 0
                           ? std::min(perSecond, aUsage.m_rateLimit)
                           : perSecond;
  return std::max(kMinDemand, limited);
}

FairQueue::Standing
FairQueue::StandingOf(TimePoint aNow, const std::string& aTenant) const
{
  const auto found = m_usage.find(aTenant);
  if (found == m_usage.end()) {
    return { 0, kMinDemand };
  }
  const Usage& usage = found->second;
  const double served =
    usage.m_served * Decay(aNow - usage.m_servedAt, kServiceTimeConstantUs);
  return { served, DemandOf(usage) };
}

void
FairQueue::Add(const WaitingRequest& aRequest)
{
  const Place place{ aRequest.m_deadline, m_arrivals++ };
  const bool added =
    m_places
      .try_emplace({ aRequest.m_request, aRequest.m_part },
                   Location{ aRequest.m_priority, aRequest.m_tenant, place })
      .second;
  if (!added) {
    return;
  }
  Level& level = m_levels[aRequest.m_priority];
  level.m_flows[aRequest.m_tenant].m_waiting.emplace(place, aRequest);
  ++level.m_size;
}

bool
FairQueue::Remove(std::uint64_t aRequest, std::uint32_t aPart)
{
  const auto found = m_places.find({ aRequest, aPart });
  if (found == m_places.end()) {
    return false;
  }
  const Location& location = found->second;
  const auto level = m_levels.find(location.m_priority);
  const auto flow = level->second.m_flows.find(location.m_tenant);
  flow->second.m_waiting.erase(location.m_place);
  if (flow->second.m_waiting.empty()) {
    level->second.m_flows.erase(flow);
  }
  if (--level->second.m_size == 0) {
    m_levels.erase(level);
  }
  m_places.erase(found);
  return true;
}

const WaitingRequest*
FairQueue::NextOf(TimePoint aNow, const Level& aLevel) const
{
  const WaitingRequest* best = nullptr;
  double bestRatio = 0;
  for (const auto& [tenant, flow] : aLevel.m_flows) {
    const auto first = flow.First(m_pass);
    if (first == flow.m_waiting.end()) {
      continue;
    }
    // The ratio decides only between tenants.
    const double ratio =
      aLevel.m_flows.size() > 1 ? StandingOf(aNow, tenant).Ratio() : 0;
    if (!best || ratio < bestRatio ||
        (ratio == bestRatio && first->second.m_deadline < best->m_deadline)) {
      best = &first->second;
      bestRatio = ratio;
    }
  }
  return best;
}

const WaitingRequest*
FairQueue::NextOfLower(TimePoint aNow, std::uint32_t aHighest) const
{
  const WaitingRequest* best = nullptr;
  std::uint64_t bestServed = 0;
  for (auto level = m_levels.upper_bound(aHighest); level != m_levels.end();
       ++level) {
    const WaitingRequest* next = NextOf(aNow, level->second);
    const auto found = m_lastServed.find(level->first);
    const std::uint64_t served =
      found == m_lastServed.end() ? 0 : found->second;
    if (next && (!best || served < bestServed)) {
      best = next;
      bestServed = served;
    }
  }
  return best;
}

const WaitingRequest*
FairQueue::Next(TimePoint aNow)
{
  for (const auto& [priority, level] : m_levels) {
    const WaitingRequest* next = NextOf(aNow, level);
    if (!next) {
      continue;
    }
    if (m_sharing && m_sinceLower + 1 >= kLowerPriorityInterval) {
      const WaitingRequest* lower = NextOfLower(aNow, priority);
      next = lower ? lower : next;
    }
    return next;
  }
  return nullptr;
}

void
FairQueue::Skip(const WaitingRequest& aRequest)
{
  const auto found = m_places.find({ aRequest.m_request, aRequest.m_part });
  if (found == m_places.end()) {
    return;
  }
  Flow& flow = m_levels[aRequest.m_priority].m_flows[found->second.m_tenant];
  flow.m_skipped = found->second.m_place;
  flow.m_pass = m_pass;
}

void
FairQueue::Serve(TimePoint aNow, const WaitingRequest& aRequest)
{
  const WaitingRequest request = aRequest;
  if (m_levels.begin()->first != request.m_priority) {
    m_sinceLower = 0;
  } else if (m_levels.size() > 1) {
    ++m_sinceLower;
  }
  m_lastServed[request.m_priority] = ++m_dispatches;
  Remove(request.m_request, request.m_part);
  CountServed(aNow, request.m_tenant);
}

double
FairQueue::Ahead(TimePoint aNow, const WaitingRequest& aRequest) const
{
  const auto level = m_levels.find(aRequest.m_priority);
  if (level == m_levels.end()) {
    return m_sharing ? 0 : static_cast<double>(AtLeast(aRequest.m_priority));
  }
  double own = 0;
  const auto& flows = level->second.m_flows;
  const auto flow = flows.find(aRequest.m_tenant);
  if (flow != flows.end()) {
    const auto queued = m_places.find({ aRequest.m_request, aRequest.m_part });
    const Place place = queued == m_places.end()
                          ? Place(aRequest.m_deadline, m_arrivals)
                          : queued->second.m_place;
    own = static_cast<double>(
      std::distance(flow->second.m_waiting.begin(),
                    flow->second.m_waiting.lower_bound(place)));
  }
  const Standing mine = StandingOf(aNow, aRequest.m_tenant);
  const double turn = (mine.m_served + own) / mine.m_demand;
  double ahead = own;
  for (const auto& [tenant, other] : flows) {
    if (tenant != aRequest.m_tenant) {
      // Another tenant is served until it stands where this one does.
      const Standing standing = StandingOf(aNow, tenant);
      ahead += std::clamp(turn * standing.m_demand - standing.m_served,
                          0.0,
                          static_cast<double>(other.m_waiting.size()));
    }
  }
  const auto higher =
    static_cast<double>(AtLeast(aRequest.m_priority) - level->second.m_size);
  // The share of lower priorities may serve the request before higher ones.
  return m_sharing ? std::min(higher + ahead, ahead * kLowerPriorityInterval)
                   : higher + ahead;
}

std::size_t
FairQueue::AtLeast(std::uint32_t aPriority) const
{
  std::size_t count = 0;
  for (const auto& [priority, level] : m_levels) {
    if (priority <= aPriority) {
      count += level.m_size;
    }
  }
  return count;
}

} // namespace goldcrestkeel
