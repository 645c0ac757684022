#include "FeedPolls.h"

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

namespace {

constexpr int kUnavailable = 503;

} // namespace

FeedPolls::FeedPolls(Loop& aLoop,
                     DecisionLog& aLog,
                     std::string aHostId,
                     std::vector<SharedFeed*> aFeeds,
                     ReplyCallback aReply)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_hostId(std::move(aHostId))
  , m_feeds(std::move(aFeeds))
  , m_reply(std::move(aReply))
  , m_timer(aLoop, [this] { AnswerWaiting(); })
{
  for (SharedFeed* feed : m_feeds) {
    // Deferred, because a feed changes while its own decisions are under way.
    feed->SetObserver([this] { m_timer.SetAfter(Duration(0)); });
  }
}

FeedPolls::~FeedPolls()
{
  for (SharedFeed* feed : m_feeds) {
    feed->SetObserver(nullptr);
  }
}

void
FeedPolls::OnPoll(SessionId aSession, std::string_view aBody)
{
  FeedPoll request;
  try {
    request = DecodeFeedPoll(aBody);
  } catch (const std::exception& error) {
    m_log.Write(LogPriority::Request,
                "feed_poll_unusable",
                { { "reason", std::string_view(error.what()) } });
    Refuse(aSession);
    return;
  }
  const auto feed =
    std::find_if(m_feeds.begin(), m_feeds.end(), [&](const SharedFeed* aFeed) {
      return aFeed->Name() == request.m_feed;
    });
  if (m_stopped || feed == m_feeds.end() || request.m_reader != m_hostId) {
    Refuse(aSession);
    return;
  }
  const WaitingPoll poll{
    aSession, *feed, request.m_after, m_loop.Now() + request.m_wait
  };
  if (Answer(poll, false)) {
    return;
  }
  m_waiting.push_back(poll);
  if (m_waiting.size() == 1) {
    m_timer.SetAt(poll.m_deadline);
  }
}

bool
FeedPolls::Answer(const WaitingPoll& aPoll, bool aDue)
{
  const SharedFeed& feed = *aPoll.m_feed;
  if (m_stopped || !feed.CanServeFollowers()) {
    Refuse(aPoll.m_session);
    return true;
  }
  const bool encoded = m_encoded.m_feed == &feed &&
                       m_encoded.m_after == aPoll.m_after &&
                       m_encoded.m_revision == feed.Revision();
  if (!encoded) {
    const FeedChanges changes = feed.ChangesSince(aPoll.m_after);
    if (changes.m_items.empty() && !changes.m_complete) {
      if (aDue) {
        Reply(aPoll, EncodeFeedChanges(changes));
      }
      return aDue;
    }
    m_encoded = {
      &feed, aPoll.m_after, changes.m_revision, EncodeFeedChanges(changes)
    };
  }
  Reply(aPoll, m_encoded.m_body);
  return true;
}

void
FeedPolls::Reply(const WaitingPoll& aPoll, std::string aBody)
{
  const Duration age = aPoll.m_feed->Age().value();
  CallerReply reply;
  reply.m_fields.emplace_back(kFeedHostField, m_hostId);
  reply.m_fields.emplace_back(kFeedAgeField,
                              std::to_string(age.count() / 1000));
  reply.m_body = std::move(aBody);
  m_reply(aPoll.m_session, std::move(reply));
}

void
FeedPolls::Refuse(SessionId aSession)
{
  CallerReply reply;
  reply.m_status = kUnavailable;
  m_reply(aSession, std::move(reply));
}

void
FeedPolls::AnswerWaiting()
{
  const TimePoint now = m_loop.Now();
  std::deque<WaitingPoll> waiting = std::exchange(m_waiting, {});
  for (const WaitingPoll& poll : waiting) {
    if (!Answer(poll, now >= poll.m_deadline)) {
      m_waiting.push_back(poll);
    }
  }
  if (m_waiting.empty()) {
    return;
  }
  const auto next =
    std::min_element(m_waiting.begin(),
                     m_waiting.end(),
                     [](const WaitingPoll& aOne, const WaitingPoll& aOther) {
                       return aOne.m_deadline < aOther.m_deadline;
                     });
  m_timer.SetAt(next->m_deadline);
}

void
FeedPolls::Stop()
{
  m_stopped = true;
  AnswerWaiting();
}

} // namespace goldcrestkeel
