#include <goldcrestkeel/core/StableHash.h>
#include <goldcrestkeel/feed/SourceSelector.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Time until a reader that failed is polled again: minimum and random part. */
constexpr Duration kBackoff{ 500000 };
constexpr Duration kBackoffJitter{ 500000 };
/** A host that follows a reader returns to a better one this long after that
 *  one has failed. */
constexpr Duration kReturnDelay{ 10000000 };
/** Delay until a host that is no reader asks the store after all readers have
 *  failed: minimum and random part. */
constexpr Duration kStoreDelay{ 300000 };
constexpr Duration kStoreJitter{ 1000000 };

constexpr std::array<std::string_view, 3> kSources{ "store", "host", "none" };

} // namespace

std::string_view
NameOf(FeedSource aSource)
{
  return kSources.at(static_cast<std::size_t>(aSource));
}

SourceSelector::SourceSelector(FeedOptions aOptions, RandomSource& aRandom)
  : m_options(std::move(aOptions))
  , m_random(aRandom)
{
}

void
SourceSelector::SetHosts(const std::vector<HostRecord>& aHosts)
{
  m_shared = aHosts.size() >= m_options.m_minSharedHosts;
  m_readers.clear();
  if (!m_shared) {
    m_failures.clear();
    m_storeAt.reset();
    return;
  }
  // Only hosts before this one in an order that is the same on all hosts, so
  // that hosts never follow each other in a cycle.
  const auto isBefore = [](const HostRecord& aOne, const HostRecord& aOther) {
    const auto placeOf = [](const HostRecord& aHost) {
      return std::tuple(
        -aHost.m_cores, StableHash().Add(aHost.m_id).Mixed(), aHost.m_id);
    };
    return placeOf(aOne) < placeOf(aOther);
  };
  for (const HostRecord& host : aHosts) {
    if (host.m_dataCentre == m_options.m_host.m_dataCentre &&
        !host.m_relayAddress.empty() && isBefore(host, m_options.m_host)) {
      m_readers.push_back(host);
    }
  }
  std::sort(m_readers.begin(), m_readers.end(), isBefore);
  m_readers.resize(std::min(m_readers.size(), kReaders));
  std::erase_if(m_failures, [&](const auto& aFailure) {
    return std::none_of(
      m_readers.begin(), m_readers.end(), [&](const HostRecord& aHost) {
        return aHost.m_id == aFailure.first;
      });
  });
}

SourceChoice
SourceSelector::Choose(TimePoint aNow, const std::string& aFollowed)
{
  if (m_readers.empty()) {
    return {};
  }
  const bool follows = !aFollowed.empty() && !m_failures.contains(aFollowed);
  std::optional<TimePoint> retryAt;
  for (const HostRecord& host : m_readers) {
    const auto failure = m_failures.find(host.m_id);
    if (failure == m_failures.end()) {
      return { FeedSource::Host, host, std::nullopt };
    }
    const TimePoint eligibleAt =
      follows ? failure->second.m_at + kReturnDelay : failure->second.m_retryAt;
    if (eligibleAt <= aNow) {
      return { FeedSource::Host, host, std::nullopt };
    }
    retryAt = std::min(retryAt.value_or(eligibleAt), eligibleAt);
  }
  if (!m_storeAt) {
    m_storeAt = aNow;
    if (Rank() == kReaders) {
      *m_storeAt +=
        kStoreDelay + Duration(m_random.Below(kStoreJitter.count()));
    }
  }
  if (aNow >= *m_storeAt) {
    return { FeedSource::Store, std::nullopt, retryAt };
  }
  return { FeedSource::None, std::nullopt, std::min(*retryAt, *m_storeAt) };
}

void
SourceSelector::Failed(TimePoint aNow, const std::string& aHostId)
{
  const TimePoint retryAt =
    aNow + kBackoff + Duration(m_random.Below(kBackoffJitter.count()));
  m_failures[aHostId] = { aNow, retryAt };
}

void
SourceSelector::Succeeded(const std::string& aHostId)
{
  m_failures.erase(aHostId);
  m_storeAt.reset();
}

} // namespace goldcrestkeel
