#pragma once

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/forward/HostRecord.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** From whom a host learns of changes. */
enum class FeedSource
{
  /** It reads the store itself. */
  Store,
  /** Another host, the reader. */
  Host,
  /** Nobody for the moment: all readers failed, and the store is not asked
   *  until later. */
  None,
};

std::string_view
NameOf(FeedSource aSource);

struct SourceChoice
{
  FeedSource m_source = FeedSource::Store;
  /** The reader; set for FeedSource::Host. */
  std::optional<HostRecord> m_host;
  /** When to choose again, if there is a reason to. */
  std::optional<TimePoint> m_until;
};

struct FeedOptions
{
  /** This host. */
  HostRecord m_host;
  /** With fewer hosts than this, each reads the store. */
  std::size_t m_minSharedHosts = kMinSharedHosts;

  /** An additional step between the store and a host is worth it only if it
   *  saves many reads. */
  static constexpr std::size_t kMinSharedHosts = 24;
};

/** Selects the reader of a host: the first of the hosts in its data centre, in
 *  an order that all of them agree on, that has not failed lately. Readers ask
 *  only those before them in this order, and the first reads the store, so that
 *  the number of hosts that read the store does not grow with the deployment.
 *  The order is by CPU quota, then by a hash of the id. */
class SourceSelector
{
public:
  SourceSelector(FeedOptions aOptions, RandomSource& aRandom);

  /** Sets the live hosts of the deployment. */
  void SetHosts(const std::vector<HostRecord>& aHosts);

  /** aFollowed: the reader that is followed now; empty if there is none. */
  SourceChoice Choose(TimePoint aNow, const std::string& aFollowed);

  /** The reader failed, or is not up to date. */
  void Failed(TimePoint aNow, const std::string& aHostId);
  /** The reader answered and is up to date. */
  void Succeeded(const std::string& aHostId);

  /** Whether hosts read the store on behalf of others. */
  bool IsShared() const { return m_shared; }
  /** Position of this host in the order of readers; kReaders for all others. */
  std::size_t Rank() const { return m_shared ? m_readers.size() : kReaders; }

  /** Number of readers of a data centre, including those in reserve. */
  static constexpr std::size_t kReaders = 3;

private:
  struct Failure
  {
    TimePoint m_at;
    TimePoint m_retryAt;
  };

  FeedOptions m_options;
  RandomSource& m_random;
  bool m_shared = false;
  /** Readers before this host, in order; none unless m_shared is set. */
  std::vector<HostRecord> m_readers;
  /** The last failure of each reader that has not answered since. */
  std::map<std::string, Failure> m_failures;
  /** Set while all readers have failed: when the store is asked. */
  std::optional<TimePoint> m_storeAt;
};

} // namespace goldcrestkeel
