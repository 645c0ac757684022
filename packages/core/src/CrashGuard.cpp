#include <goldcrestkeel/core/CrashGuard.h>
#include <goldcrestkeel/core/StableHash.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Coverage of a run without a reset that clears a suspect. It is below 1 so
 *  that a lost shard does not keep statements suspected. */
constexpr double kMinClearingCoverage = 0.5;
/** Shards, and replicas, that are recorded for one statement. */
constexpr std::size_t kMaxCrashesOfEntry = 64;

bool
IsSpace(char aCharacter)
{
  return aCharacter == ' ' || (aCharacter >= '\t' && aCharacter <= '\r');
}

} // namespace

std::uint64_t
Fingerprint(std::string_view aStatement)
{
  StableHash hash;
  bool pendingSpace = false;
  bool started = false;
  for (char character : aStatement) {
    if (IsSpace(character)) {
      pendingSpace = started;
      continue;
    }
    if (pendingSpace) {
      hash.Add(' ');
      pendingSpace = false;
    }
    started = true;
    const bool upper = character >= 'A' && character <= 'Z';
    hash.Add(upper ? static_cast<char>(character - 'A' + 'a') : character);
  }
  return hash.Value();
}

void
CrashGuard::Entry::ClearCrashes()
{
  m_shards.clear();
  m_replicas.clear();
}

StatementStatus
CrashGuard::StatusOf(std::uint64_t aFingerprint) const
{
  const auto entry = m_entries.find(aFingerprint);
  if (entry == m_entries.end()) {
    return StatementStatus::Allowed;
  }
  const SuspectReport& report = entry->second.m_report;
  if (report.m_quarantined) {
    return StatementStatus::Quarantined;
  }
  return report.m_crashes > 0 || entry->second.m_suspectElsewhere
           ? StatementStatus::Suspect
           : StatementStatus::Allowed;
}

void
CrashGuard::RecordCrash(TimePoint aNow,
                        TimePoint aStartedAt,
                        std::uint64_t aFingerprint,
                        const std::string& aStatement,
                        const std::string& aShard,
                        std::uint64_t aReplica,
                        std::uint64_t aIncarnation,
                        TimePoint aOthersServedAt,
                        std::uint32_t aCrashes)
{
  EvictEntries();
  Entry& entry = m_entries[aFingerprint];
  if (entry.m_shards.size() < kMaxCrashesOfEntry &&
      std::find(entry.m_shards.begin(), entry.m_shards.end(), aShard) ==
        entry.m_shards.end()) {
    entry.m_shards.push_back(aShard);
  }
  const std::pair replica(aReplica, aIncarnation);
  const bool alreadyCounted =
    std::find(entry.m_replicas.begin(), entry.m_replicas.end(), replica) !=
    entry.m_replicas.end();
  if (!alreadyCounted && entry.m_replicas.size() < kMaxCrashesOfEntry) {
    entry.m_replicas.push_back(replica);
  }
  entry.m_lastCrash = std::max(entry.m_lastCrash, aNow);
  // Crashes that are not counted must not extend the time of those that are:
  // the replicas of a request that comes often crash one shortly after another.
  const bool sameCrash =
    entry.m_countedAt &&
    (aStartedAt <= *entry.m_countedAt ||
     (aOthersServedAt <= *entry.m_countedAt &&
      aNow <= *entry.m_countedAt + m_options.m_sameCrashTime));
  if (sameCrash || alreadyCounted) {
    return;
  }
  entry.m_countedAt = aNow;
  SuspectReport& report = entry.m_report;
  report.m_fingerprint = aFingerprint;
  report.m_statement = aStatement;
  report.m_lifted = false;
  report.m_crashes += aCrashes;
  ++report.m_version;
  ++m_version;
  if (report.m_crashes >= m_options.m_crashesBeforeQuarantine &&
      !report.m_quarantined) {
    report.m_quarantined = true;
    ++m_quarantined;
  }
}

void
CrashGuard::RecordCompletion(std::uint64_t aFingerprint,
                             const std::vector<std::string>& aMissing,
                             double aFraction,
                             bool aReset)
{
  const auto found = m_entries.find(aFingerprint);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.m_suspectElsewhere = false;
  if (entry.m_report.m_crashes == 0 || entry.m_report.m_quarantined) {
    return;
  }
  const bool crashedShardsAnswered =
    !entry.m_shards.empty() &&
    std::none_of(
      aMissing.begin(), aMissing.end(), [&](const std::string& aShard) {
        return std::find(entry.m_shards.begin(),
                         entry.m_shards.end(),
                         aShard) != entry.m_shards.end();
      });
  if (crashedShardsAnswered || (!aReset && aFraction >= kMinClearingCoverage)) {
    entry.m_report.m_crashes = 0;
    entry.ClearCrashes();
    ++entry.m_report.m_version;
    ++m_version;
  }
}

void
CrashGuard::AddSuspect(TimePoint aNow,
                       std::uint64_t aFingerprint,
                       const std::string& aStatement)
{
  if (StatusOf(aFingerprint) != StatementStatus::Allowed) {
    return;
  }
  EvictEntries();
  Entry& entry = m_entries[aFingerprint];
  entry.m_lastCrash = aNow;
  entry.m_suspectElsewhere = true;
  entry.m_report.m_fingerprint = aFingerprint;
  entry.m_report.m_statement = aStatement;
}

void
CrashGuard::Merge(TimePoint aNow, const std::vector<SuspectReport>& aReports)
{
  for (const SuspectReport& report : aReports) {
    EvictEntries();
    Entry& entry = m_entries[report.m_fingerprint];
    SuspectReport& current = entry.m_report;
    const bool sameVersion = report.m_version == current.m_version;
    // Two hosts can reach the same version independently; both then keep the
    // more severe entry.
    const bool moreSevere = report.m_quarantined > current.m_quarantined ||
                            (report.m_quarantined == current.m_quarantined &&
                             report.m_crashes > current.m_crashes);
    if (report.m_version < current.m_version || (sameVersion && !moreSevere)) {
      continue;
    }
    if (report.m_quarantined && !current.m_quarantined) {
      ++m_quarantined;
    }
    if (report.m_crashes > current.m_crashes) {
      entry.m_lastCrash = aNow;
      entry.m_countedAt = aNow;
    }
    current = report;
    if (report.m_crashes == 0) {
      entry.ClearCrashes();
    }
    ++m_version;
  }
}

void
CrashGuard::ForgetBefore(TimePoint aTime)
{
  const std::size_t forgotten =
    std::erase_if(m_entries, [&](const auto& aEntry) {
      return aEntry.second.m_lastCrash < aTime;
    });
  if (forgotten > 0) {
    ++m_version;
  }
}

std::optional<TimePoint>
CrashGuard::OldestCrash() const
{
  std::optional<TimePoint> oldest;
  for (const auto& [fingerprint, entry] : m_entries) {
    oldest = std::min(oldest.value_or(entry.m_lastCrash), entry.m_lastCrash);
  }
  return oldest;
}

bool
CrashGuard::LiftQuarantine(std::uint64_t aFingerprint)
{
  const auto found = m_entries.find(aFingerprint);
  if (found == m_entries.end() || !found->second.m_report.m_quarantined) {
    return false;
  }
  SuspectReport& report = found->second.m_report;
  report.m_quarantined = false;
  report.m_lifted = true;
  report.m_crashes = 0;
  found->second.ClearCrashes();
  ++report.m_version;
  ++m_version;
  return true;
}

SuspectReport
CrashGuard::ReportOf(std::uint64_t aFingerprint) const
{
  const auto found = m_entries.find(aFingerprint);
  SuspectReport report;
  if (found != m_entries.end()) {
    report = found->second.m_report;
  }
  report.m_fingerprint = aFingerprint;
  return report;
}

std::vector<SuspectReport>
CrashGuard::Reports() const
{
  std::vector<SuspectReport> reports;
  reports.reserve(m_entries.size());
  for (const auto& [fingerprint, entry] : m_entries) {
    reports.push_back(entry.m_report);
  }
  std::sort(reports.begin(),
            reports.end(),
            [](const SuspectReport& aLeft, const SuspectReport& aRight) {
              return aLeft.m_fingerprint < aRight.m_fingerprint;
            });
  return reports;
}

void
CrashGuard::EvictEntries()
{
  if (m_entries.size() < kMaxEntries) {
    return;
  }
  std::erase_if(m_entries, [](const auto& aItem) {
    const SuspectReport& report = aItem.second.m_report;
    return !report.m_quarantined && report.m_crashes == 0;
  });
  for (auto entry = m_entries.begin();
       entry != m_entries.end() && m_entries.size() >= kMaxEntries;) {
    entry = entry->second.m_report.m_quarantined ? std::next(entry)
                                                 : m_entries.erase(entry);
  }
  if (m_entries.size() < kMaxEntries) {
    return;
  }
  // Half of them at once, so that a full table is not searched for each entry.
  std::vector<TimePoint> times;
  times.reserve(m_entries.size());
  for (const auto& [fingerprint, entry] : m_entries) {
    times.push_back(entry.m_lastCrash);
  }
  const auto middle =
    times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::size_t evicted = 0;
  std::erase_if(m_entries, [&](const auto& aItem) {
    // Many entries may have the same time.
    const bool evict =
      aItem.second.m_lastCrash <= *middle && evicted < times.size() / 2;
    evicted += evict ? 1 : 0;
    return evict;
  });
}

} // namespace goldcrestkeel
