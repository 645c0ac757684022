#pragma once

#include "CallerSession.h"
#include "FeedMessages.h"

#include <goldcrestkeel/edge/DecisionLog.h>
#include <goldcrestkeel/edge/Loop.h>
#include <goldcrestkeel/edge/SharedFeed.h>

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Answers polls of other hosts: at once if there are changes, else when there
 *  are, or when the wait time has passed. */
class FeedPolls
{
public:
  /** Sends a reply on a session; nothing happens if the session has ended. */
  using ReplyCallback = std::function<void(SessionId, CallerReply&&)>;

  /** aLoop, aLog and aFeeds must outlive the object. */
  FeedPolls(Loop& aLoop,
            DecisionLog& aLog,
            std::string aHostId,
            std::vector<SharedFeed*> aFeeds,
            ReplyCallback aReply);
  ~FeedPolls();
  FeedPolls(const FeedPolls&) = delete;
  FeedPolls& operator=(const FeedPolls&) = delete;

  /** aBody is that of the request; an invalid one is refused. */
  void OnPoll(SessionId aSession, std::string_view aBody);
  /** Refuses all polls from now on, so that the other hosts ask elsewhere. */
  void Stop();

private:
  struct WaitingPoll
  {
    SessionId m_session = 0;
    SharedFeed* m_feed = nullptr;
    FeedRevision m_after = 0;
    TimePoint m_deadline;
  };
  /** The last encoded changes, never empty; most hosts lack the same ones. */
  struct Encoded
  {
    const SharedFeed* m_feed = nullptr;
    FeedRevision m_after = 0;
    FeedRevision m_revision = 0;
    std::string m_body;
  };

  /** Replies if there are changes, none can be told, or aDue is set; returns
   *  whether it did. */
  bool Answer(const WaitingPoll& aPoll, bool aDue);
  void Reply(const WaitingPoll& aPoll, std::string aBody);
  void Refuse(SessionId aSession);
  void AnswerWaiting();

  Loop& m_loop;
  DecisionLog& m_log;
  std::string m_hostId;
  std::vector<SharedFeed*> m_feeds;
  ReplyCallback m_reply;
  bool m_stopped = false;
  std::deque<WaitingPoll> m_waiting;
  Encoded m_encoded;
  LoopTimer m_timer;
};

} // namespace goldcrestkeel
