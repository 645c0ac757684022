#pragma once

#include "ReplicaTable.h"

#include <goldcrestkeel/core/QueryEngine.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrestkeel {

/** Hash of a statement that ignores case and differences in white space. */
std::uint64_t
Fingerprint(std::string_view aStatement);

/** Whether and how a statement may run. */
enum class StatementStatus
{
  Allowed,
  /** Runs without hedges and retries, one run at a time. */
  Suspect,
  /** Is refused. */
  Quarantined,
};

/** Records the statements that were running on replicas when these crashed. A
 *  suspected statement is quarantined when another replica crashes while it
 *  runs. */
class CrashGuard
{
public:
  StatementStatus StatusOf(std::uint64_t aFingerprint) const;

  /** Records that a replica of aShard crashed while aStatement ran on it. It
   *  counts as a new crash only if aStartedAt, the time at which the attempt
   *  was sent, is after the previous crash: several replicas that crash
   *  together are one piece of evidence about a statement that ran on all of
   *  them. Another reset by the same incarnation of a replica is not counted
   *  either. */
  void RecordCrash(TimePoint aNow,
                   TimePoint aStartedAt,
                   std::uint64_t aFingerprint,
                   const std::string& aStatement,
                   const std::string& aShard,
                   ReplicaIndex aReplica,
                   std::uint64_t aIncarnation);

  /** Records the end of a run that searched aFraction of the documents, all
   *  shards except aMissing; aReset tells whether a connection was reset. A
   *  suspect is cleared if the shards on which replicas crashed have answered,
   *  or if at least half of the documents were searched without a reset. */
  void RecordCompletion(std::uint64_t aFingerprint,
                        const std::vector<std::string>& aMissing,
                        double aFraction,
                        bool aReset);

  /** Merges the reports of other hosts; the larger version of an entry replaces
   *  the smaller. */
  void Merge(TimePoint aNow, const std::vector<SuspectReport>& aReports);
  /** Returns false if the statement is not quarantined. */
  bool LiftQuarantine(std::uint64_t aFingerprint);

  /** All entries, by fingerprint. */
  std::vector<SuspectReport> Reports() const;
  /** Number of quarantines since the start; lifting one does not reduce it. */
  std::uint64_t QuarantinedCount() const { return m_quarantined; }
  /** Incremented by each change of an entry. */
  std::uint64_t Version() const { return m_version; }

private:
  struct Entry
  {
    SuspectReport m_report;
    /** Shards of which replicas crashed while this host ran the statement. */
    std::vector<std::string> m_shards;
    TimePoint m_lastCrash = TimePoint::min();
    /** Replicas that crashed, with their incarnations. */
    std::vector<std::pair<ReplicaIndex, std::uint64_t>> m_replicas;

    /** Clears the recorded shards and replicas. */
    void ClearCrashes();
  };

  /** Makes room for one more entry if the table is full. */
  void EvictEntries();

  std::unordered_map<std::uint64_t, Entry> m_entries;
  std::uint64_t m_quarantined = 0;
  std::uint64_t m_version = 0;
};

/** Time for which the answer of a query that may have crashed replicas is
 *  delayed. Its caller may retry through another host, which must have received
 *  the suspect report by then: twice the propagation delay of 50 ms. */
inline constexpr Duration kSuspectAnswerDelay{ 100000 };

} // namespace goldcrestkeel
