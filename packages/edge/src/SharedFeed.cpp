#include "FeedMessages.h"

#include <goldcrestkeel/edge/Numbers.h>
#include <goldcrestkeel/edge/SharedFeed.h>

#include <utility>

namespace goldcrestkeel {

namespace {

/** Time for the answer to a poll after its wait. The reader counts as failed
 *  after it. */
constexpr Duration kPollAnswerTime{ 600000 };

/** Delay until held polls are checked again after a read of the store failed.
 */
constexpr Duration kLostCheckDelay{ 250000 };

constexpr int kOk = 200;

} // namespace

SharedFeed::SharedFeed(Loop& aLoop,
                       DecisionLog& aLog,
                       std::string aName,
                       const FeedOptions& aOptions,
                       StoreReader& aReader,
                       ChangesCallback aChanges)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_name(std::move(aName))
  , m_reader(aReader)
  , m_onChanges(std::move(aChanges))
  , m_follower(aOptions, *m_random, *this)
  , m_timer(aLoop,
            [this] {
              m_follower.OnTimer(m_loop.Now());
              ArmTimer();
            })
  , m_lostTimer(aLoop, [this] {
    if (m_observer) {
      m_observer();
    }
  })
{
}

SharedFeed::~SharedFeed() = default;

void
SharedFeed::OnHosts(const std::vector<HostRecord>& aHosts)
{
  m_follower.OnHosts(m_loop.Now(), aHosts);
  ArmTimer();
}

void
SharedFeed::OnStoreChanges(const FeedChanges& aChanges,
                           std::optional<TimePoint> aProvenAt)
{
  m_follower.OnStoreChanges(aChanges, aProvenAt);
}

void
SharedFeed::OnStoreLost()
{
  m_follower.OnStoreLost(m_loop.Now());
  if (m_observer) {
    // Polls that are held are refused if the store stays away.
    m_lostTimer.SetAfter(kLostCheckDelay);
  }
}

void
SharedFeed::SetObserver(std::function<void()> aObserver)
{
  m_observer = std::move(aObserver);
}

void
SharedFeed::PollReader(PollId aPoll,
                       const HostRecord& aReader,
                       FeedRevision aAfter,
                       Duration aWait)
{
  std::unique_ptr<HttpCaller>& caller = m_callers[aReader.m_relayAddress];
  if (!caller) {
    caller = std::make_unique<HttpCaller>(m_loop, aReader.m_relayAddress);
  }
  HttpCall call;
  call.m_method = kFeedPollMethod;
  call.m_target = kFeedPollTarget;
  call.m_body = EncodeFeedPoll({ m_name, aReader.m_id, aAfter, aWait });
  call.m_timeout = aWait + kPollAnswerTime;
  caller->Call(
    call, [this, aPoll, reader = aReader.m_id](const HttpCallResult& aResult) {
      OnPolled(aPoll, reader, aResult);
    });
}

void
SharedFeed::OnPolled(PollId aPoll,
                     const std::string& aReader,
                     const HttpCallResult& aResult)
{
  const TimePoint now = m_loop.Now();
  const auto age =
    ParseNumber<std::uint64_t>(FieldValue(aResult.m_fields, kFeedAgeField));
  if (aResult.m_outcome != CallOutcome::Answered) {
    m_follower.OnPollFailed(now, aPoll, PollFailure::Unreachable);
  } else if (aResult.m_status != kOk || !age ||
             FieldValue(aResult.m_fields, kFeedHostField) != aReader) {
    m_follower.OnPollFailed(now, aPoll, PollFailure::Refused);
  } else {
    try {
      const ReaderAnswer answer{ DecodeFeedChanges(aResult.m_body),
                                 std::chrono::milliseconds(*age) };
      m_follower.OnAnswer(now, aPoll, answer);
    } catch (const std::exception& error) {
      m_log.Write(LogPriority::Process,
                  "feed_answer_unusable",
                  { { "feed", std::string_view(m_name) },
                    { "reader", std::string_view(aReader) },
                    { "reason", std::string_view(error.what()) } });
      m_follower.OnPollFailed(now, aPoll, PollFailure::Malformed);
    }
  }
  ArmTimer();
}

void
SharedFeed::StartReading(FeedRevision aAfter)
{
  m_reader.Resume(aAfter);
}

void
SharedFeed::StopReading()
{
  m_reader.Pause();
}

void
SharedFeed::Deliver(const FeedChanges& aChanges,
                    std::optional<TimePoint> aChangedAfter)
{
  m_onChanges(aChanges, aChangedAfter);
  if (!aChanges.m_items.empty() && m_observer) {
    m_observer();
  }
}

void
SharedFeed::LogSource(FeedSource aSource,
                      std::string_view aReader,
                      std::string_view aReason,
                      std::optional<Duration> aAge)
{
  m_log.Write(LogPriority::Process,
              "feed_source",
              { { "feed", std::string_view(m_name) },
                { "source", NameOf(aSource) },
                { "reader", aReader },
                { "reason", aReason },
                { "revision", static_cast<std::int64_t>(Revision().m_number) },
                { "era", static_cast<std::int64_t>(Revision().m_era) },
                { "age_ms", aAge ? aAge->count() / 1000.0 : -1.0 } });
}

void
SharedFeed::ArmTimer()
{
  if (const auto next = m_follower.NextTimer()) {
    m_timer.SetAt(*next);
  } else {
    m_timer.Cancel();
  }
}

} // namespace goldcrestkeel
