#pragma once

#include <goldcrestkeel/Feed.h>
#include <goldcrestkeel/testing/EventQueue.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel::testing {

/** Many hosts, the network between them and the store, in virtual time. */
class FeedFleet
{
public:
  class Host;

  FeedFleet(std::size_t aDataCentres, std::size_t aHostsEach, unsigned aSeed);
  ~FeedFleet();

  TimePoint Now() const { return m_events.Now(); }
  /** A change at the store. */
  void Change();
  /** Runs for a time. */
  void Run(Duration aTime);
  /** Calls aAction after a time. */
  void After(Duration aTime, std::function<void()> aAction);

  /** Index of a reader of a data centre; that of rank 0 reads the store if all
   *  is well. */
  std::size_t ReaderOf(std::size_t aDataCentre, std::size_t aRank = 0) const;
  /** The host does nothing for a while, and its messages wait. */
  void Pause(std::size_t aHost, Duration aTime);
  /** The host is gone; connections to it are refused. */
  void Kill(std::size_t aHost);
  void Restart(std::size_t aHost);
  /** The host cannot reach the store: calls fail at once, or after their
   *  timeout if aSilent is set. */
  void CutFromStore(std::size_t aHost, bool aSilent);
  void HealStore(std::size_t aHost);

  bool IsAlive(std::size_t aHost) const;
  FeedRevision RevisionOf(std::size_t aHost) const;
  FeedSource SourceOf(std::size_t aHost) const;
  std::size_t size() const { return m_hosts.size(); }

  FeedRevision m_storeRevision = 1;
  bool m_storeDown = false;
  std::uint64_t m_storeCalls = 0;
  std::unique_ptr<RandomSource> m_random;

private:
  friend class Host;
  std::vector<HostRecord> m_records;
  std::vector<std::unique_ptr<Host>> m_hosts;
  EventQueue m_events{ TimePoint(std::chrono::seconds(100)) };
};

} // namespace goldcrestkeel::testing
