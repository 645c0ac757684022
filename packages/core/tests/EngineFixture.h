#pragma once

#include <goldcrestkeel/Core.h>

#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel::testing {

/** Engine with one service "catalogue" whose shards hold 100 documents each.
 *  Actions are collected; the test plays the replicas. */
class EngineFixture
{
public:
  EngineFixture(int aShards, int aReplicas);

  QueryEngine& Engine() { return *m_engine; }
  EngineCounters Counters() const { return m_engine->Counters(); }

  /** Applies m_spec again. */
  void Configure();
  /** Sends m_request as query aQuery. */
  void Start(QueryId aQuery);
  /** Status of a replica that holds aShard of each version in aVersions. */
  void Report(const std::string& aReplica,
              const std::string& aShard,
              const std::vector<VersionId>& aVersions);
  /** Correct and complete reply to the sub-request at aSent of m_sent. */
  SubReply ReplyTo(std::size_t aSent) const;
  void Reply(std::size_t aSent, std::vector<Hit> aHits);
  void Fail(std::size_t aSent, SubFailureKind aKind);
  /** Fires all timers up to aTime after the start, each at its own time. */
  void AdvanceTo(Duration aTime);

  template<typename Event>
  void Handle(const Event& aEvent)
  {
    Actions actions;
    m_engine->Handle(m_now, aEvent, actions);
    Collect(actions);
  }

  /** The only answer so far. */
  const FinishSearch& Only() const;

  void Collect(const Actions& aActions);

  TimePoint m_now{ Duration{ 0 } };
  EngineOptions m_options;
  ServiceSpec m_spec;
  StartSearch m_request;
  std::vector<SendSubRequest> m_sent;
  std::vector<CancelSubRequest> m_cancelled;
  std::vector<FinishSearch> m_finished;

private:
  int m_shards;
  std::unique_ptr<RandomSource> m_random;
  std::unique_ptr<QueryEngine> m_engine;
};

} // namespace goldcrestkeel::testing
