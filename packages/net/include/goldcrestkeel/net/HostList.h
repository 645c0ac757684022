#pragma once

#include <goldcrestkeel/control/Membership.h>
#include <goldcrestkeel/net/EventLoop.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Hosts of a reply {"hosts":[{"id","address","state"}]}; nothing if aText is
 *  not one. */
std::optional<std::vector<ListedHost>>
ParseHostList(const std::string& aText);

/** Polls the platform's list of entry hosts. A list that cannot be read keeps
 *  the last one in force. Belongs to the loop thread. */
class HostListPoller
{
public:
  using OnList = std::function<void(const std::vector<ListedHost>&)>;

  /** aAddress is "IP:port"; aLoop must outlive the poller. */
  HostListPoller(EventLoop& aLoop,
                 const std::string& aAddress,
                 Duration aInterval,
                 OnList aOnList);
  ~HostListPoller();
  HostListPoller(const HostListPoller&) = delete;
  HostListPoller& operator=(const HostListPoller&) = delete;

  void Start();

private:
  void Finish(const HttpReply& aReply);

  EventLoop& m_loop;
  std::string m_url;
  Duration m_interval;
  OnList m_onList;
  TransferId m_transfer = 0;
  TimerId m_timer = 0;
};

} // namespace goldcrestkeel
