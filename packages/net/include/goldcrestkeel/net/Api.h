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

/** Components and limits that Api uses. All components must outlive the Api. */
struct ApiDependencies
{
  EventLoop& m_loop;
  SearchDriver& m_searches;
  /** Null on a host that does not run commands. */
  CommandDriver* m_commands = nullptr;
  /** Null on a host without cluster membership and shared configuration. */
  ControlDriver* m_control = nullptr;
  Lifecycle& m_lifecycle;
  Metrics& m_metrics;
  /** Updates the gauges before /metrics is rendered; called on the loop
   *  thread. */
  std::function<void()> m_updateMetrics;
  /** Returns whether the host may serve requests now; may be empty. Called on
   *  the loop thread before each search and command, so that a process that was
   *  paused detects the pause before it serves. */
  std::function<bool()> m_serving;
  /** Larger request bodies are rejected with 413. */
  std::size_t m_maxBodyBytes = 65536;
  /** Longest deadline, in microseconds, that a request may ask for. */
  Duration m_maxDeadline{ 30000000 };
};

/** HTTP API for callers (docs/design.md 5). Parses and validates a request on
 *  the HTTP thread that received it and executes it on the loop thread. */
class Api : public RequestHandler
{
public:
  explicit Api(ApiDependencies aDependencies);
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
  /** Throws Error (UnknownService, WrongServiceKind). */
  const ServiceSpec& ServiceFor(const std::string& aName, ServiceKind aKind);
  /** Throws Error (ShuttingDown) once the host refuses new requests. */
  void CheckNotRefusing() const;
  /** Throws Error (ShuttingDown, or NotReady without a configuration). Called
   *  on the HTTP thread. */
  void CheckAccepting() const;
  /** Throws Error (NotReady) unless m_serving allows the request. Called on the
   *  loop thread. */
  void CheckServing() const;
  /** Posts aRun to the loop thread. An exception that it throws becomes the
   *  response. */
  void RunOnLoop(const SharedExchange& aExchange, std::function<void()> aRun);
  /** Adds a finished request to the metrics and logs it. */
  void RecordOutcome(const SharedExchange& aExchange,
                     std::string_view aKind,
                     TimePoint aStart,
                     std::optional<ErrorKind> aError);

  ApiDependencies m_dependencies;
};

} // namespace goldcrestkeel
