#pragma once

#include <goldcrestkeel/standins/HttpServer.h>
#include <goldcrestkeel/standins/KeyValueTable.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace goldcrestkeel::standins {

/** Settings of the simulated platform, from the command line. */
struct PlatformSettings
{
  /** Address of the key-value service and the host list. */
  ListenAddress m_listen;
  ListenAddress m_admin;
  int m_threads = 2;
  /** Delay before each call is handled. */
  std::chrono::microseconds m_delay{ 2000 };
  /** Delay before a change of the host list becomes visible to callers. */
  std::chrono::milliseconds m_hostsLag{ 2000 };
  std::uint64_t m_seed = 0;
};

/** Parses the command line. Throws std::invalid_argument for an invalid value
 *  or a missing listen address, and std::out_of_range for a number that does
 *  not fit its type. Prints the usage and exits with 2 for --help or an unknown
 *  option. */
PlatformSettings
ParseArguments(int aArgumentCount, char** aArguments);

/** Simulated platform: key-value service and host list. All state is confined
 *  to the thread that calls Run(); the HTTP threads only post requests to its
 *  event loop. */
class Platform
{
public:
  explicit Platform(PlatformSettings aSettings);
  /** Runs the event loop until a signal ends the process. */
  void Run();

private:
  using Json = nlohmann::json;
  using Time = std::chrono::steady_clock::time_point;

  /** Reply to a call. */
  struct Response
  {
    int m_status = 200;
    std::string m_body;
    /** Value of the header X-Consul-Index; 0 omits the header. */
    std::uint64_t m_index = 0;
    /** Whether the call was a write, whose reply a fault may lose. */
    bool m_isWrite = false;
  };

  /** Blocking query whose reply waits for a change of the index. */
  struct BlockedQuery
  {
    HttpRequest m_request;
    std::uint64_t m_index = 0;
    std::shared_ptr<boost::asio::steady_timer> m_timer;
  };

  struct Faults
  {
    /** Calls get no reply and have no effect. */
    bool m_hang = false;
    double m_extraDelayMs = 0;
    /** Probability that a write is applied but its reply is lost. */
    double m_loseReplyProbability = 0;
    /** Number of subsequent writes whose replies are lost. */
    std::uint64_t m_loseNextCount = 0;
    /** Probability that a call has no effect and gets a 500. */
    double m_failProbability = 0;
  };

  void OnRequest(const HttpRequest& aRequest);
  void HandleRequest(const HttpRequest& aRequest);
  Response OnKey(const HttpRequest& aRequest);
  Response OnGet(const HttpRequest& aRequest, const std::string& aKey) const;
  Response OnPut(const HttpRequest& aRequest, const std::string& aKey);
  Response OnDelete(const HttpRequest& aRequest, const std::string& aKey);
  Response OnSession(const HttpRequest& aRequest);
  Response OnCreateSession(const HttpRequest& aRequest);
  void Reply(const HttpRequest& aRequest, const Response& aResponse);
  /** Defers the reply if the request is a blocking query and its index has not
   *  changed. Returns whether it did. */
  bool BlockUntilChange(const HttpRequest& aRequest);
  /** Sends the replies of the blocking queries whose index has changed. */
  void AnswerChangedQueries();
  /** Current index of the key or prefix that the request reads. */
  std::uint64_t WatchedIndex(const HttpRequest& aRequest) const;
  /** Sets the timer for the next expiry of a session. */
  void ScheduleExpiry();
  /** Counts the call by kind and by client address. */
  void CountCall(const HttpRequest& aRequest);

  void OnAdmin(const HttpRequest& aRequest);
  void ApplyAdminField(const std::string& aName, const Json& aValue);
  Json AdminState() const;
  void SetHosts(const Json& aHosts);
  void SetOutage(const std::string& aKind);
  /** Returns true with the given probability. */
  bool RandomBool(double aProbability);
  /** Runs aAction on the event loop after aDelay. */
  template<typename Action>
  void RunAfter(std::chrono::microseconds aDelay, Action aAction);

  PlatformSettings m_settings;
  boost::asio::io_context m_io;
  std::mt19937_64 m_random;
  KeyValueTable m_keyValues;
  std::list<BlockedQuery> m_blockedQueries;
  boost::asio::steady_timer m_expiryTimer;
  /** Current host list, and the list that callers see after the lag. */
  Json m_hosts = Json::array();
  Json m_visibleHosts = Json::array();
  Faults m_faults;
  std::map<std::string, std::uint64_t> m_callCounts;
  std::map<std::string, std::uint64_t> m_callCountsByPeer;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<HttpServer> m_admin;
};

} // namespace goldcrestkeel::standins
