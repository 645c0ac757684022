#pragma once

#include "CrashMessages.h"

#include <goldcrestkeel/edge/DecisionLog.h>
#include <goldcrestkeel/edge/HttpCaller.h>
#include <goldcrestkeel/edge/Loop.h>
#include <goldcrestkeel/forward/HostRecord.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Sends what this host knows of requests that crash replicas to other entry
 *  hosts. */
class CrashReporter
{
public:
  /** Called with what another host replies. */
  using OnReply = std::function<void(const CrashMessage&)>;

  /** Most messages that wait to be sent. Further ones are dropped. */
  static constexpr std::size_t kMaxWaiting = 4096;

  /** aLoop and aLog must outlive the object. aHostId is this host, aMaxOpen the
   *  most messages that are under way at once, each over a connection. */
  CrashReporter(Loop& aLoop,
                DecisionLog& aLog,
                std::string aHostId,
                std::size_t aMaxOpen,
                OnReply aOnReply);
  ~CrashReporter();
  CrashReporter(const CrashReporter&) = delete;
  CrashReporter& operator=(const CrashReporter&) = delete;

  void SetHosts(const std::vector<HostRecord>& aHosts);
  /** Tells the hosts that count the crashes of this fingerprint. */
  void Report(std::uint64_t aFingerprint, const CrashMessage& aMessage);
  /** Tells all hosts. */
  void Announce(const CrashMessage& aMessage);

  /** Ids of the hosts that count the crashes of a fingerprint, in order. Every
   *  host computes the same ones. */
  static std::vector<std::string> CountingHosts(
    const std::vector<HostRecord>& aHosts,
    std::uint64_t aFingerprint);

  /** Messages that have not been answered or given up. */
  std::size_t OpenCount() const { return m_open.size(); }
  std::size_t WaitingCount() const { return m_waiting.size(); }

private:
  struct Message
  {
    std::string m_hostId;
    std::string m_address;
    /** Shared by the hosts that it is sent to. */
    std::shared_ptr<const std::string> m_body;
  };

  /** Sends aMessage to the hosts for which aChosen is true. */
  void SendTo(const CrashMessage& aMessage,
              const std::function<bool(const HostRecord&)>& aChosen);
  void SendWaiting();
  void Send(const Message& aMessage);
  void OnEnded(std::uint64_t aNumber,
               const std::string& aHost,
               const HttpCallResult& aResult);
  void OnAnswer(const std::string& aHost, const HttpCallResult& aResult);

  Loop& m_loop;
  DecisionLog& m_log;
  std::string m_hostId;
  OnReply m_onReply;
  std::vector<HostRecord> m_hosts;
  std::size_t m_maxOpen;
  std::deque<Message> m_waiting;
  /** The client of each open message, by the number of the message. */
  std::unordered_map<std::uint64_t, std::unique_ptr<HttpCaller>> m_open;
  std::uint64_t m_nextNumber = 1;
  /** Clients that may be in one of their callbacks. */
  std::vector<std::unique_ptr<HttpCaller>> m_ended;
  LoopTimer m_cleanUpTimer;
};

} // namespace goldcrestkeel
