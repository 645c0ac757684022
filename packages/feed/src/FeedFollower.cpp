#include <goldcrestkeel/feed/FeedFollower.h>

#include <algorithm>
#include <array>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Number of retained changes; a host that lacks more gets the whole state. */
constexpr std::size_t kRetainedChanges = 1024;
/** Age from which the state of a reader is too old to follow it. Readers in
 *  reserve give up earlier than other hosts, by kMaxAgeStep for each place, so
 *  that they are up to date when the others ask them. */
constexpr Duration kMaxAge{ 3400000 };
constexpr Duration kMaxAgeStep{ 400000 };
/** The same for a reader that is not followed yet. */
constexpr Duration kMaxFirstAge{ 2500000 };
/** How long a reader holds the answer to a poll while nothing changes, and the
 *  same for the first poll, which shows whether the reader is up to date. */
constexpr Duration kPollWait{ 800000 };
constexpr Duration kFirstPollWait{ 200000 };
/** A host whose store cannot be read for longer than this tells the others so.
 */
constexpr Duration kLostGracePeriod{ 200000 };
/** Shortest interval between two polls of a reader. */
constexpr Duration kMinPollInterval{ 100000 };
/** Time for the answer of a reader to arrive. */
constexpr Duration kTransitTime{ 20000 };

constexpr std::array<std::string_view, 3> kPollFailures{ "unreachable",
                                                         "refused",
                                                         "malformed" };

} // namespace

std::string_view
NameOf(PollFailure aFailure)
{
  return kPollFailures.at(static_cast<std::size_t>(aFailure));
}

FeedFollower::FeedFollower(FeedOptions aOptions,
                           RandomSource& aRandom,
                           FeedSink& aSink)
  : m_sink(aSink)
  , m_selector(std::move(aOptions), aRandom)
  , m_log(kRetainedChanges)
{
}

FeedSource
FeedFollower::Source() const
{
  if (!m_followed.empty()) {
    return FeedSource::Host;
  }
  return m_reading ? FeedSource::Store : FeedSource::None;
}

std::optional<Duration>
FeedFollower::Age(TimePoint aNow) const
{
  if (!m_provenAt) {
    return std::nullopt;
  }
  return std::max(Duration(0), aNow - *m_provenAt);
}

Duration
FeedFollower::MaxAge() const
{
  const auto places =
    static_cast<int>(SourceSelector::kReaders - m_selector.Rank());
  return kMaxAge - places * kMaxAgeStep;
}

void
FeedFollower::OnHosts(TimePoint aNow, const std::vector<HostRecord>& aHosts)
{
  m_selector.SetHosts(aHosts);
  if (!m_openPoll) {
    Follow(aNow, "hosts changed");
  }
}

void
FeedFollower::Apply(const FeedChanges& aChanges,
                    std::optional<TimePoint> aProvenAt)
{
  const std::optional<TimePoint> before = m_provenAt;
  const FeedChanges news = m_log.Apply(aChanges);
  if (aProvenAt && aChanges.m_revision >= m_log.Revision()) {
    m_provenAt = std::max(m_provenAt.value_or(*aProvenAt), *aProvenAt);
  }
  m_sink.Deliver(news, before);
}

void
FeedFollower::OnStoreChanges(const FeedChanges& aChanges,
                             std::optional<TimePoint> aProvenAt)
{
  m_storeLostAt.reset();
  Apply(aChanges, aProvenAt);
}

void
FeedFollower::OnStoreLost(TimePoint aNow)
{
  m_storeLostAt = m_storeLostAt.value_or(aNow);
}

void
FeedFollower::OnAnswer(TimePoint aNow,
                       PollId aPoll,
                       const ReaderAnswer& aAnswer)
{
  if (m_openPoll != aPoll) {
    return;
  }
  m_openPoll.reset();
  // A reader that is behind proves nothing; it may catch up.
  if (aAnswer.m_changes.m_revision >= m_log.Revision()) {
    Apply(aAnswer.m_changes, aNow - aAnswer.m_age - kTransitTime);
  }
  const Duration maxAge =
    m_followed == m_reader ? MaxAge() : std::min(MaxAge(), kMaxFirstAge);
  if (!m_provenAt || aNow - *m_provenAt > maxAge) {
    m_selector.Failed(aNow, m_reader);
    Follow(aNow, "reader is not up to date");
    return;
  }
  m_selector.Succeeded(m_reader);
  if (m_followed != m_reader) {
    m_followed = m_reader;
    m_sink.LogSource(
      FeedSource::Host, m_followed, "reader is up to date", Age(aNow));
  }
  SetReading(false);
  Follow(aNow, "a better reader is tried");
}

void
FeedFollower::OnPollFailed(TimePoint aNow, PollId aPoll, PollFailure aFailure)
{
  if (m_openPoll != aPoll) {
    return;
  }
  m_openPoll.reset();
  m_selector.Failed(aNow, m_reader);
  Follow(aNow, NameOf(aFailure));
}

void
FeedFollower::SetReading(bool aReading)
{
  if (aReading == m_reading) {
    return;
  }
  m_reading = aReading;
  m_storeLostAt.reset();
  if (aReading) {
    m_sink.StartReading(m_log.Revision());
  } else {
    m_sink.StopReading();
  }
}

void
FeedFollower::Follow(TimePoint aNow, std::string_view aReason)
{
  const SourceChoice choice = m_selector.Choose(aNow, m_followed);
  m_timerAt = choice.m_until;
  const bool left =
    !m_followed.empty() &&
    (choice.m_source != FeedSource::Host || choice.m_host->m_id != m_followed);
  if (left) {
    m_followed.clear();
    m_sink.LogSource(choice.m_source,
                     choice.m_host ? choice.m_host->m_id : std::string_view(),
                     aReason,
                     Age(aNow));
  }
  if (choice.m_source == FeedSource::Store) {
    if (!m_reading && !left) {
      m_sink.LogSource(FeedSource::Store, {}, aReason, Age(aNow));
    }
    SetReading(true);
    return;
  }
  if (choice.m_source == FeedSource::None) {
    return;
  }
  const TimePoint earliest = m_polledAt + kMinPollInterval;
  if (aNow < earliest && choice.m_host->m_id == m_reader) {
    m_timerAt = earliest;
    return;
  }
  m_timerAt.reset();
  m_reader = choice.m_host->m_id;
  m_polledAt = aNow;
  m_openPoll = m_nextPoll++;
  m_sink.PollReader(*m_openPoll,
                    *choice.m_host,
                    m_log.Revision(),
                    m_reader == m_followed ? kPollWait : kFirstPollWait);
}

std::optional<TimePoint>
FeedFollower::NextTimer() const
{
  return m_openPoll ? std::nullopt : m_timerAt;
}

void
FeedFollower::OnTimer(TimePoint aNow)
{
  if (m_openPoll || !m_timerAt || aNow < *m_timerAt) {
    return;
  }
  Follow(aNow, "reader is tried again");
}

bool
FeedFollower::CanServeFollowers(TimePoint aNow) const
{
  const bool lost = m_reading && m_followed.empty() && m_storeLostAt &&
                    aNow - *m_storeLostAt > kLostGracePeriod;
  return m_log.Revision() > 0 && m_provenAt && !lost;
}

} // namespace goldcrestkeel
