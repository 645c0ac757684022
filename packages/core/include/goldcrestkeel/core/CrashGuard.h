#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
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

/** A suspected or quarantined statement, as entry hosts exchange it. */
struct SuspectReport
{
  std::uint64_t m_fingerprint = 0;
  /** Number of runs of the statement during which replicas crashed. */
  std::uint32_t m_crashes = 0;
  bool m_quarantined = false;
  /** Incremented by each change of this entry; the larger version replaces the
   *  smaller. */
  std::uint64_t m_version = 0;
  bool m_lifted = false;
  std::string m_statement;
};

struct CrashGuardOptions
{
  /** Crashes after which a statement is quarantined. */
  std::uint32_t m_crashesBeforeQuarantine = 2;
  /** Crashes up to this time after one that was counted count with it, unless
   *  other statements were answered in between: one cause outside the statement
   *  may end several replicas. */
  Duration m_sameCrashTime{ 0 };
};

/** Records the statements that were running on replicas when these crashed. A
 *  suspected statement is quarantined when further replicas crash while it
 *  runs. A statement is whatever the fingerprint stands for: that of a query,
 * or a request that is forwarded. */
class CrashGuard
{
public:
  /** Most entries. Beyond it, those of statements that are not quarantined are
   *  evicted first, then half of all, those of the oldest crashes. */
  static constexpr std::size_t kMaxEntries = 10000;

  explicit CrashGuard(const CrashGuardOptions& aOptions = {})
    : m_options(aOptions)
  {
  }

  StatementStatus StatusOf(std::uint64_t aFingerprint) const;

  /** Records that a replica of aShard crashed while aStatement ran on it. It
   *  counts as a new crash only if aStartedAt, the time at which the attempt
   *  was sent, is after the last crash that was counted: several replicas that
   *  crash together are one piece of evidence about a statement that ran on all
   *  of them. Another reset by the same incarnation of a replica is not counted
   *  either. aOthersServedAt is when the service last answered another
   *  statement before the crash; aCrashes is how many crashes it counts as. */
  void RecordCrash(TimePoint aNow,
                   TimePoint aStartedAt,
                   std::uint64_t aFingerprint,
                   const std::string& aStatement,
                   const std::string& aShard,
                   std::uint64_t aReplica,
                   std::uint64_t aIncarnation,
                   TimePoint aOthersServedAt = TimePoint::min(),
                   std::uint32_t aCrashes = 1);

  /** Records the end of a run that searched aFraction of the documents, all
   *  shards except aMissing; aReset tells whether a connection was reset. A
   *  suspect is cleared if the shards on which replicas crashed have answered,
   *  or if at least half of the documents were searched without a reset. */
  void RecordCompletion(std::uint64_t aFingerprint,
                        const std::vector<std::string>& aMissing,
                        double aFraction,
                        bool aReset);

  /** Another host has counted crashes of a statement: it is suspect here until
   *  it completes. The crashes do not count here. */
  void AddSuspect(TimePoint aNow,
                  std::uint64_t aFingerprint,
                  const std::string& aStatement);
  /** Merges the reports of other hosts; the larger version of an entry replaces
   *  the smaller. */
  void Merge(TimePoint aNow, const std::vector<SuspectReport>& aReports);
  /** Forgets the statements whose last crash was before aTime. */
  void ForgetBefore(TimePoint aTime);
  /** When the statement crashed whose last crash is the oldest. */
  std::optional<TimePoint> OldestCrash() const;
  /** Returns false if the statement is not quarantined. */
  bool LiftQuarantine(std::uint64_t aFingerprint);

  /** The entry of a statement; only its fingerprint is set if there is none. */
  SuspectReport ReportOf(std::uint64_t aFingerprint) const;
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
    /** Another host has counted crashes, which this one has not. */
    bool m_suspectElsewhere = false;
    /** When the last crash that was counted happened. */
    std::optional<TimePoint> m_countedAt;
    /** Replicas that crashed, with their incarnations. */
    std::vector<std::pair<std::uint64_t, std::uint64_t>> m_replicas;

    /** Clears the recorded shards and replicas. */
    void ClearCrashes();
  };

  /** Makes room for one more entry if the table is full. */
  void EvictEntries();

  CrashGuardOptions m_options;
  std::unordered_map<std::uint64_t, Entry> m_entries;
  std::uint64_t m_quarantined = 0;
  std::uint64_t m_version = 0;
};

/** Time for which the answer of a query that may have crashed replicas is
 *  delayed. Its caller may retry through another host, which must have received
 *  the suspect report by then: twice the propagation delay of 50 ms. */
inline constexpr Duration kSuspectAnswerDelay{ 100000 };

} // namespace goldcrestkeel
