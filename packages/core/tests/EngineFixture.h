#pragma once

#include <goldcrestkeel/Core.h>

#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel::testing {

/** Engine with one service "catalogue" whose shards hold 100 documents each.
 *  The fixture collects the actions; the test sends the replies of the
 *  replicas. */
class EngineFixture
{
public:
  EngineFixture(int aShards, int aReplicas);

  QueryEngine& Engine() { return *m_engine; }
  EngineCounters Counters() const { return m_engine->Counters(); }

  /** Applies m_spec to the engine again, after a change. */
  void Configure();
  /** Starts m_request as query aQuery. */
  void Start(QueryId aQuery);
  /** Delivers the status of a replica that holds aShard of each version in
   *  aVersions. */
  void ReportStatus(const std::string& aReplica,
                    const std::string& aShard,
                    const std::vector<VersionId>& aVersions);
  /** Returns a correct and complete reply to m_sent[aSent]. */
  SubReply ReplyTo(std::size_t aSent) const;
  /** Delivers the reply to m_sent[aSent] with aHits. */
  void Reply(std::size_t aSent, std::vector<Hit> aHits);
  /** Delivers a failure of m_sent[aSent]. */
  void Fail(std::size_t aSent, SubFailureKind aKind);
  /** Runs all timers up to aTime after the start, each at its own time. */
  void AdvanceTo(Duration aTime);

  template<typename Event>
  void Handle(const Event& aEvent)
  {
    Actions actions;
    m_engine->Handle(m_now, aEvent, actions);
    Collect(actions);
  }

  /** Returns the answer; requires that there is exactly one. */
  const FinishSearch& OnlyAnswer() const;

  /** Appends the actions to m_sent, m_cancelled and m_finished. */
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
