#pragma once

#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/edge/Loop.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** How a call ended. */
enum class CallOutcome
{
  Answered,
  /** Nothing was sent. */
  NotSent,
  /** It was sent, but no complete answer came; it may have taken effect. */
  Unknown,
};

std::string_view
NameOf(CallOutcome aOutcome);

/** One call of an HTTP/1.1 service with JSON bodies. */
struct HttpCall
{
  std::string m_method = "GET";
  /** Path and query. */
  std::string m_target;
  std::string m_body;
  /** Whole call, the connection included. */
  Duration m_timeout{ 0 };
};

struct HttpCallResult
{
  CallOutcome m_outcome = CallOutcome::Unknown;
  int m_status = 0;
  std::string m_body;
};

/** Calls of one HTTP/1.1 service. */
class HttpService
{
public:
  using Done = std::function<void(const HttpCallResult&)>;

  virtual ~HttpService() = default;
  /** aDone is called once, and never before Call() has returned. */
  virtual void Call(const HttpCall& aCall, Done aDone) = 0;
};

/** Calls a server over TCP, each call on a connection of its own while it runs.
 *  Connections are used again. */
class HttpCaller : public HttpService
{
public:
  /** aLoop must outlive the caller. Throws std::runtime_error if aAddress is no
   *  "IP:port". */
  HttpCaller(Loop& aLoop, std::string aAddress);
  ~HttpCaller() override;
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  void Call(const HttpCall& aCall, Done aDone) override;

private:
  class Exchange;

  void Finished(Exchange& aExchange);

  Loop& m_loop;
  std::string m_address;
  std::vector<std::unique_ptr<Exchange>> m_exchanges;
  std::vector<std::unique_ptr<Exchange>> m_ended;
  LoopTimer m_cleanUp;
};

/** aText with everything but letters, digits and "-._~/" as %XX. */
std::string
EscapeQueryValue(std::string_view aText);

} // namespace goldcrestkeel
