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

struct PlatformSettings
{
  ListenAddress m_listen;
  ListenAddress m_admin;
  int m_threads = 2;
  /** Time to answer one call. */
  std::chrono::microseconds m_delay{ 2000 };
  /** Time after which a change of the host list becomes visible. */
  std::chrono::milliseconds m_hostsLag{ 2000 };
  std::uint64_t m_seed = 0;
};

PlatformSettings
ParseArguments(int aCount, char** aValues);

/** Simulated platform: key-value service and host list. All state belongs to
 *  the thread that calls Run(). */
class Platform
{
public:
  explicit Platform(PlatformSettings aSettings);
  /** Serves until the process is ended by a signal. */
  void Run();

private:
  using Json = nlohmann::json;
  using Time = std::chrono::steady_clock::time_point;

  /** A reply and what it is about. */
  struct Answer
  {
    int m_status = 200;
    std::string m_body;
    std::uint64_t m_index = 0;
    bool m_write = false;
  };

  /** Blocking query that waits for a change. */
  struct Waiter
  {
    HttpRequest m_request;
    std::uint64_t m_index = 0;
    std::shared_ptr<boost::asio::steady_timer> m_timer;
  };

  struct Faults
  {
    bool m_hang = false;
    double m_delayMs = 0;
    /** Share of writes that are applied while the reply is lost. */
    double m_loseReply = 0;
    /** Number of next writes whose reply is lost. */
    std::uint64_t m_loseNext = 0;
    /** Share of calls that get a 500 without effect. */
    double m_fail = 0;
  };

  void OnRequest(const HttpRequest& aRequest);
  void Serve(const HttpRequest& aRequest);
  Answer OnKey(const HttpRequest& aRequest);
  Answer OnGet(const HttpRequest& aRequest, const std::string& aKey) const;
  Answer OnPut(const HttpRequest& aRequest, const std::string& aKey);
  Answer OnDelete(const HttpRequest& aRequest, const std::string& aKey);
  Answer OnSession(const HttpRequest& aRequest);
  Answer OnCreateSession(const HttpRequest& aRequest);
  void Reply(const HttpRequest& aRequest, const Answer& aAnswer);
  bool Block(const HttpRequest& aRequest);
  void WakeWaiters();
  std::uint64_t IndexOf(const HttpRequest& aRequest) const;
  void ScheduleExpiry();
  void Count(const HttpRequest& aRequest);

  void OnAdmin(const HttpRequest& aRequest);
  void ApplyAdminField(const std::string& aName, const Json& aValue);
  Json AdminState() const;
  void SetHosts(const Json& aHosts);
  void SetOutage(const std::string& aKind);
  bool Chance(double aShare);
  template<typename Action>
  void After(std::chrono::microseconds aDelay, Action aAction);

  PlatformSettings m_settings;
  boost::asio::io_context m_io;
  std::mt19937_64 m_random;
  KeyValueTable m_table;
  std::list<Waiter> m_waiters;
  boost::asio::steady_timer m_expiry;
  /** Host list as it is, and as callers see it. */
  Json m_hosts = Json::array();
  Json m_visibleHosts = Json::array();
  Faults m_faults;
  std::map<std::string, std::uint64_t> m_calls;
  std::map<std::string, std::uint64_t> m_callsByPeer;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<HttpServer> m_admin;
};

} // namespace goldcrestkeel::standins
