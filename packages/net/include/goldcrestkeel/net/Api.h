#pragma once

#include <goldcrestkeel/Language.h>
#include <goldcrestkeel/net/CommandDriver.h>
#include <goldcrestkeel/net/ControlDriver.h>
#include <goldcrestkeel/net/EventLoop.h>
#include <goldcrestkeel/net/HttpFront.h>
#include <goldcrestkeel/net/Lifecycle.h>
#include <goldcrestkeel/net/Metrics.h>
#include <goldcrestkeel/net/SearchDriver.h>

#include <functional>
#include <memory>
#include <string>

namespace goldcrestkeel {

/** What the API calls. All pointers and references must outlive the API. */
struct ApiDependencies
{
  EventLoop& m_loop;
  SearchDriver& m_searches;
  /** Null until the host can take commands. */
  CommandDriver* m_commands = nullptr;
  /** Null until the host takes part in the control of the fleet. */
  ControlDriver* m_control = nullptr;
  Lifecycle& m_lifecycle;
  Metrics& m_metrics;
  /** Brings the gauges up to date; called on the loop thread. */
  std::function<void()> m_updateMetrics;
  /** Whether the host may serve at this moment; called on the loop thread
   *  before each request, because a paused host must notice the pause first. */
  std::function<bool()> m_serving;
  std::size_t m_maxBodyBytes = 65536;
  Duration m_maxDeadline{ 30000000 };
};

/** HTTP API for callers (docs/design.md 5). Checks a request on the HTTP
 *  thread, carries it out on the loop thread. */
class Api : public RequestHandler
{
public:
  explicit Api(ApiDependencies aParts);
  void Handle(std::shared_ptr<Exchange> aExchange) override;

private:
  using SharedExchange = std::shared_ptr<Exchange>;

  void Route(const SharedExchange& aExchange);
  void HandleService(const SharedExchange& aExchange);
  void HandleSearch(const SharedExchange& aExchange,
                    const std::string& aService);
  void HandleCommand(const SharedExchange& aExchange,
                     const std::string& aService);
  void HandleStatement(const SharedExchange& aExchange);
  void RunStatement(const SharedExchange& aExchange,
                    const Statement& aStatement,
                    const std::string& aOperationId,
                    std::optional<Duration> aDeadline);
  void RunChange(const SharedExchange& aExchange,
                 const Statement& aStatement,
                 const std::string& aOperationId);
  void RunInspection(const SharedExchange& aExchange,
                     const Statement& aStatement);
  void HandleMetrics(const SharedExchange& aExchange);
  void RunSearch(const SharedExchange& aExchange, StartSearch aSearch);
  void RunCommand(const SharedExchange& aExchange,
                  Command aCommand,
                  std::optional<Duration> aDeadline);
  const ServiceSpec& ServiceFor(const std::string& aName, ServiceKind aKind);
  void CheckNotRefusing() const;
  void CheckAccepting() const;
  void CheckServing() const;
  /** Calls aRun on the loop thread; an Error it throws becomes the answer. */
  void OnLoop(const SharedExchange& aExchange, std::function<void()> aRun);
  void Count(const SharedExchange& aExchange,
             std::string_view aKind,
             TimePoint aStart,
             std::optional<ErrorKind> aError);

  ApiDependencies m_dependencies;
};

} // namespace goldcrestkeel
