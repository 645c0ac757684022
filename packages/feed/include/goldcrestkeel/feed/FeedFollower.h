#pragma once

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/feed/ChangeLog.h>
#include <goldcrestkeel/feed/FeedItem.h>
#include <goldcrestkeel/feed/SourceSelector.h>
#include <goldcrestkeel/forward/HostRecord.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Identifier of a poll of a reader; never 0 and never reused. */
using PollId = std::uint64_t;

/** What a reader answers to a poll. */
struct ReaderAnswer
{
  FeedChanges m_changes;
  /** Time since the reader last verified that its state is that of the store.
   */
  Duration m_age{ 0 };
};

/** Why a poll has no answer. */
enum class PollFailure
{
  /** The reader was not reached or did not answer in time. */
  Unreachable,
  /** It answered that it does not know whether it is up to date. */
  Refused,
  /** Its answer is invalid. */
  Malformed,
};

std::string_view
NameOf(PollFailure aFailure);

/** Performs the I/O of a follower. From within these methods the follower must
 *  not be called back. */
class FeedSink
{
public:
  virtual ~FeedSink() = default;

  /** Asks a reader for the changes after aAfter; it holds the answer for aWait
   *  while there are none. At most one poll is open;
   *  FeedFollower::OnAnswer() or OnPollFailed() is called once for it, the
   *  latter also when it takes too long. */
  virtual void PollReader(PollId aPoll,
                          const HostRecord& aReader,
                          FeedRevision aAfter,
                          Duration aWait) = 0;
  /** Starts to read the store for changes after aAfter, once a cheap call shows
   *  that it answers: hundreds of hosts may do so at a time. */
  virtual void StartReading(FeedRevision aAfter) = 0;
  /** Stops reading the store. */
  virtual void StopReading() = 0;
  /** Reports changes. aChangedAfter: the changes were made after this time; not
   *  set if that is unknown. */
  virtual void Deliver(const FeedChanges& aChanges,
                       std::optional<TimePoint> aChangedAfter) = 0;
  /** Logs a change of the source. aAge: age of what is known, if anything. */
  virtual void LogSource(FeedSource aSource,
                         std::string_view aReader,
                         std::string_view aReason,
                         std::optional<Duration> aAge) = 0;
};

/** Keeps the state of one feed up to date: from a reader if there is one that
 *  is up to date, else from the store. Tells other hosts what it knows and how
 *  old it is. Not thread-safe; the time is an argument of each event. */
class FeedFollower
{
public:
  /** aRandom and aSink must outlive the follower. The sink is expected to read
   *  the store already. */
  FeedFollower(FeedOptions aOptions, RandomSource& aRandom, FeedSink& aSink);

  /** The live hosts of the deployment. */
  void OnHosts(TimePoint aNow, const std::vector<HostRecord>& aHosts);

  /** The store reported changes, or that there are none. aProvenAt: the state
   *  was that of the store at this time or later; not set if there may be more
   *  changes. */
  void OnStoreChanges(const FeedChanges& aChanges,
                      std::optional<TimePoint> aProvenAt);
  /** A read of the store failed. */
  void OnStoreLost(TimePoint aNow);

  void OnAnswer(TimePoint aNow, PollId aPoll, const ReaderAnswer& aAnswer);
  void OnPollFailed(TimePoint aNow, PollId aPoll, PollFailure aFailure);

  /** Returns when to call OnTimer() next; nothing if no timer is set. */
  std::optional<TimePoint> NextTimer() const;
  void OnTimer(TimePoint aNow);

  /** Whether other hosts may be told ChangesSince() and Age(). If not, this
   * host does not know whether it is up to date, and the others ask elsewhere.
   */
  bool CanServeFollowers(TimePoint aNow) const;
  /** Changes for a host that has those up to aAfter. */
  FeedChanges ChangesSince(FeedRevision aAfter) const
  {
    return m_log.Since(aAfter);
  }

  FeedRevision Revision() const { return m_log.Revision(); }
  FeedSource Source() const;
  /** Time since the state was verified to be that of the store, if ever. */
  std::optional<Duration> Age(TimePoint aNow) const;
  /** Whether hosts read the store on behalf of others. */
  bool IsShared() const { return m_selector.IsShared(); }
  /** Whether this host is the one that reads the store for its data centre. */
  bool IsFirstReader() const { return IsShared() && m_selector.Rank() == 0; }

private:
  /** Applies changes, and reports those that are news. */
  void Apply(const FeedChanges& aChanges, std::optional<TimePoint> aProvenAt);
  /** Polls the selected reader, or reads the store. */
  void Follow(TimePoint aNow, std::string_view aReason);
  void SetReading(bool aReading);
  /** Age from which a reader's state is too old. */
  Duration MaxAge() const;

  FeedSink& m_sink;
  SourceSelector m_selector;
  ChangeLog m_log;

  bool m_reading = true;
  /** Since when the store cannot be read, if that is so. */
  std::optional<TimePoint> m_storeLostAt;
  /** The open poll, and the reader that it asks. */
  std::optional<PollId> m_openPoll;
  std::string m_reader;
  TimePoint m_polledAt;
  PollId m_nextPoll = 1;
  /** When to poll or select again. */
  std::optional<TimePoint> m_timerAt;
  /** The reader that is in use; empty if none is. */
  std::string m_followed;
  /** The state was that of the store at this time or later. */
  std::optional<TimePoint> m_provenAt;
};

} // namespace goldcrestkeel
