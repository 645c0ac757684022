#pragma once

#include <goldcrestkeel/Feed.h>
#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/edge/DecisionLog.h>
#include <goldcrestkeel/edge/HttpCaller.h>
#include <goldcrestkeel/edge/Loop.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Reads the changes of a feed from the store, while it is told to. */
class StoreReader
{
public:
  virtual ~StoreReader() = default;
  /** Reads the changes after aAfter from now on, once a cheap call shows that
   *  the store answers. */
  virtual void Resume(FeedRevision aAfter) = 0;
  /** Stops reading. */
  virtual void Pause() = 0;
};

/** A feed that hosts pass on to each other. Reads it from another host or from
 *  the store (see FeedFollower), and answers polls of other hosts. */
class SharedFeed : private FeedSink
{
public:
  /** Called for each change; see FeedSink::Deliver(). */
  using ChangesCallback =
    std::function<void(const FeedChanges&, std::optional<TimePoint>)>;

  /** aLoop, aLog and aReader must outlive the feed. aName distinguishes the
   *  feeds of a host. aReader is expected to read already. */
  SharedFeed(Loop& aLoop,
             DecisionLog& aLog,
             std::string aName,
             const FeedOptions& aOptions,
             StoreReader& aReader,
             ChangesCallback aChanges);
  ~SharedFeed() override;
  SharedFeed(const SharedFeed&) = delete;
  SharedFeed& operator=(const SharedFeed&) = delete;

  /** The live hosts of the deployment. */
  void OnHosts(const std::vector<HostRecord>& aHosts);
  /** The store reported changes, or that there are none; see
   *  FeedFollower::OnStoreChanges(). */
  void OnStoreChanges(const FeedChanges& aChanges,
                      std::optional<TimePoint> aProvenAt);
  /** A read of the store failed. */
  void OnStoreLost();

  /** What other hosts may be told; see FeedFollower. */
  bool CanServeFollowers() const
  {
    return m_follower.CanServeFollowers(m_loop.Now());
  }
  FeedChanges ChangesSince(FeedRevision aAfter) const
  {
    return m_follower.ChangesSince(aAfter);
  }
  /** Calls aObserver after each change of the state, and when
   * CanServeFollowers() may have ended. */
  void SetObserver(std::function<void()> aObserver);

  const std::string& Name() const { return m_name; }
  FeedRevision Revision() const { return m_follower.Revision(); }
  /** See FeedFollower::IsShared() and IsFirstReader(). */
  bool IsShared() const { return m_follower.IsShared(); }
  bool IsFirstReader() const { return m_follower.IsFirstReader(); }
  FeedSource Source() const { return m_follower.Source(); }
  std::optional<Duration> Age() const { return m_follower.Age(m_loop.Now()); }

private:
  void PollReader(PollId aPoll,
                  const HostRecord& aReader,
                  FeedRevision aAfter,
                  Duration aWait) override;
  void StartReading(FeedRevision aAfter) override;
  void StopReading() override;
  void Deliver(const FeedChanges& aChanges,
               std::optional<TimePoint> aChangedAfter) override;
  void LogSource(FeedSource aSource,
                 std::string_view aReader,
                 std::string_view aReason,
                 std::optional<Duration> aAge) override;

  void OnPolled(PollId aPoll,
                const std::string& aReader,
                const HttpCallResult& aResult);
  void ArmTimer();

  Loop& m_loop;
  DecisionLog& m_log;
  std::string m_name;
  StoreReader& m_reader;
  ChangesCallback m_onChanges;
  std::function<void()> m_observer;
  std::unique_ptr<RandomSource> m_random = MakeSystemRandom();
  FeedFollower m_follower;
  /** Clients of readers, by address. */
  std::map<std::string, std::unique_ptr<HttpCaller>> m_callers;
  LoopTimer m_timer;
  LoopTimer m_lostTimer;
};

} // namespace goldcrestkeel
