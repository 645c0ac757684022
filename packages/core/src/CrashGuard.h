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

/** Number of a statement without regard to case and white space. */
std::uint64_t
Fingerprint(std::string_view aStatement);

/** What may be done with a statement. */
enum class Verdict
{
  Harmless,
  /** Runs without hedges and retries, one copy at a time. */
  Suspect,
  /** Is not run. */
  Quarantined,
};

/** Remembers the statements that were running on replicas when these died. A
 *  statement that is suspected and sees a replica die again is quarantined. */
class CrashGuard
{
public:
  Verdict Judge(std::uint64_t aFingerprint) const;

  /** A replica of aShard died while aStatement ran on it. It is a new
   *  crash only if aStartedAt, when the attempt was sent, is after the last
   *  one: replicas that die together say nothing about a statement that ran on
   *  several of them. A replica that breaks connections again without a restart
   *  in between is no new evidence either. */
  void Crashed(TimePoint aNow,
               TimePoint aStartedAt,
               std::uint64_t aFingerprint,
               const std::string& aStatement,
               const std::string& aShard,
               ReplicaIndex aReplica,
               std::uint64_t aIncarnation);

  /** A run without a reset, or whose retries were answered, ended with
   *  aFraction of the documents searched and without the shards in aMissing. It
   *  clears a suspect if the shards on which replicas died have answered, or if
   *  at least half of the documents were searched without a reset. */
  void Completed(std::uint64_t aFingerprint,
                 const std::vector<std::string>& aMissing,
                 double aFraction,
                 bool aReset);

  /** Takes over what other hosts know; the larger version of an entry wins. */
  void Merge(TimePoint aNow, const std::vector<SuspectReport>& aReports);
  bool Lift(std::uint64_t aFingerprint);

  std::vector<SuspectReport> List() const;
  std::uint64_t Quarantined() const { return m_quarantined; }
  /** Grows with each change of an entry. */
  std::uint64_t Version() const { return m_version; }

private:
  struct Entry
  {
    SuspectReport m_report;
    /** Shards on which replicas died under this host. */
    std::vector<std::string> m_shards;
    TimePoint m_lastCrash = TimePoint::min();
    /** These replicas and their incarnations. */
    std::vector<std::pair<ReplicaIndex, std::uint64_t>> m_replicas;

    void Forget();
  };

  void MakeRoom();

  std::unordered_map<std::uint64_t, Entry> m_entries;
  std::uint64_t m_quarantined = 0;
  std::uint64_t m_version = 0;
};

/** Time for which the answer of a query that may have crashed replicas is held
 *  back. Its caller sends it again through another host, and the other hosts
 *  must know the suspect by then: twice the propagation delay of 50 ms. */
inline constexpr Duration kSuspectHold{ 100000 };

} // namespace goldcrestkeel
