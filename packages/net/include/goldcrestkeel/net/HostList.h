#pragma once

#include <goldcrestkeel/control/Membership.h>
#include <goldcrestkeel/net/EventLoop.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Parses a host list {"hosts":[{"id","address","state"}]}, where the state is
 *  "live" or "leaving". Returns std::nullopt if any entry is malformed. */
std::optional<std::vector<ListedHost>>
ParseHostList(const std::string& aText);

/** Polls the platform's list of entry hosts. If a poll fails, the last valid
 *  list stays in force. Used on the loop thread only. */
class HostListPoller
{
public:
  using OnList = std::function<void(const std::vector<ListedHost>&)>;

  /** Polls http://aAddress/v1/hosts ("IP:port") and waits aInterval between the
   *  end of a poll and the next one. Calls aOnList for each valid list. aLoop
   *  must outlive the poller. */
  HostListPoller(EventLoop& aLoop,
                 const std::string& aAddress,
                 Duration aInterval,
                 OnList aOnList);
  ~HostListPoller();
  HostListPoller(const HostListPoller&) = delete;
  HostListPoller& operator=(const HostListPoller&) = delete;

  /** Starts the first poll. */
  void Start();

private:
  void PollFinished(const HttpReply& aReply);

  EventLoop& m_loop;
  std::string m_url;
  Duration m_interval;
  OnList m_onList;
  TransferId m_transfer = 0;
  TimerId m_timer = 0;
};

} // namespace goldcrestkeel
